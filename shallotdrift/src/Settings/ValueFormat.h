#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace shallotdrift::internal {

// Allowed values of a key.
struct ValueFormat {
    enum class Type : uint8_t {
        Integer, // whole number from minimum to maximum
        Decimal, // decimal number from minimum to maximum
        Boolean,
        Choice, // one of choices
        Name, // letters, digits, '.', '_' and '-'
        Address, // IP:port
        Path, // path of a file
        Text, // one line of free text
    };
    Type type = Type::Text;
    double minimum = 0;
    double maximum = 0;
    std::string_view unit; // empty: none
    std::vector<std::string_view> choices;

    // Describes the allowed values in messages and in docs/configuration.md.
    std::string allowedValues() const;
    // Whether the value is allowed; for the types Name, Address, Path and Text.
    bool accepts(std::string_view) const;
    // Returns the parsed number, or nullopt if the text is malformed or the number is out of range.
    std::optional<uint64_t> parseInteger(std::string_view) const;
    std::optional<double> parseDecimal(std::string_view) const;
    // Returns the index of the text in choices, or nullopt if the text is not a choice.
    std::optional<size_t> parseChoice(std::string_view) const;
    // For durations only; their unit is ms or s.
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

// Whether the text is a valid name of an instance, pool, zone, operator or handbook entry. '/' is not allowed because
// stored keys join names with it.
bool isName(std::string_view);

// Whether the text is an IP address and a port from 1 to 65535, like "192.0.2.1:7000" or "[2001:db8::1]:7000".
bool isAddress(std::string_view);

// Whether isAddress() is true for the text and its IP address is a loopback address: 127.x.x.x or ::1.
bool isLoopbackAddress(std::string_view);

} // namespace shallotdrift::internal
