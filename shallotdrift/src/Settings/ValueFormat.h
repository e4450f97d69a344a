#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

// What the value of a key may look like.
struct ValueFormat {
    enum class Type : uint8_t {
        Integer, // whole number from minimum to maximum
        Decimal, // decimal number from minimum to maximum
        Boolean,
        Choice, // one of choices
        Name, // letters, digits, '.', '_' and '-'
        Address, // IP:port
        Path, // of a file
        Text, // free text of one line
    };
    Type type = Type::Text;
    double minimum = 0;
    double maximum = 0;
    std::string_view unit;
    std::vector<std::string_view> choices;

    // What is allowed, for messages and for docs/configuration.md.
    std::string allowedValues() const;
    // Text, name, address and path values: whether the value has the form.
    bool accepts(std::string_view) const;
    std::optional<uint64_t> parseInteger(std::string_view) const;
    std::optional<double> parseDecimal(std::string_view) const;
    std::optional<size_t> parseChoice(std::string_view) const;
    // Of a time, which is given in ms or s.
    int64_t millisecondsPerUnit() const { return unit == "s" ? 1000 : 1; }

    static ValueFormat integer(double minimum, double maximum, std::string_view unit = {});
    static ValueFormat decimal(double minimum, double maximum);
    static ValueFormat boolean();
    static ValueFormat choice(std::vector<std::string_view>);
    static ValueFormat name();
    static ValueFormat address();
    static ValueFormat path();
    static ValueFormat text();
};

// Name of an instance, pool, zone, kind, team, entry or handbook entry. Identifiers in the log join names with '/'.
bool isName(std::string_view);

// "192.0.2.1:7000" or "[2001:db8::1]:7000", with a port from 1 to 65535.
bool isAddress(std::string_view);

// Whether an address as above is on the loopback interface.
bool isLoopbackAddress(std::string_view);

} // namespace shallotdrift::internal
