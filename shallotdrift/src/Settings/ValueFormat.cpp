#include "ValueFormat.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <fmt/ranges.h>

namespace shallotdrift::internal {

static constexpr size_t maximumNameLength = 64;
static constexpr size_t maximumTextLength = 500;
static constexpr size_t maximumAddressLength = 64;

ValueFormat ValueFormat::integer(double minimum, double maximum, std::string_view unit)
{
    return { Type::Integer, minimum, maximum, unit, {} };
}
ValueFormat ValueFormat::decimal(double minimum, double maximum) { return { Type::Decimal, minimum, maximum, {}, {} }; }
ValueFormat ValueFormat::boolean() { return { Type::Boolean, 0, 0, {}, { "no", "yes" } }; }
ValueFormat ValueFormat::choice(std::vector<std::string_view> choices)
{
    return { Type::Choice, 0, 0, {}, std::move(choices) };
}
ValueFormat ValueFormat::name() { return { Type::Name, 0, 0, {}, {} }; }
ValueFormat ValueFormat::address() { return { Type::Address, 0, 0, {}, {} }; }
ValueFormat ValueFormat::path() { return { Type::Path, 0, 0, {}, {} }; }
ValueFormat ValueFormat::text() { return { Type::Text, 0, 0, {}, {} }; }

std::string ValueFormat::allowedValues() const
{
    switch (type) {
    case Type::Integer:
        return fmt::format("a whole number from {:.0f} to {:.0f}{}{}", minimum, maximum, unit.empty() ? "" : " ", unit);
    case Type::Decimal:
        return fmt::format("a number from {:g} to {:g}", minimum, maximum);
    case Type::Boolean:
    case Type::Choice:
        return fmt::format("one of {}", fmt::join(choices, ", "));
    case Type::Name:
        return fmt::format("a name of 1 to {} letters, digits, '.', '_' or '-'", maximumNameLength);
    case Type::Address:
        return "an IP address and port, for example 10.0.0.7:7000 or [2001:db8::7]:7000";
    case Type::Path:
        return "the path of a file";
    case Type::Text:
        break;
    }
    return fmt::format("text of 1 to {} bytes", maximumTextLength);
}

bool ValueFormat::accepts(std::string_view value) const
{
    switch (type) {
    case Type::Name:
        return isName(value);
    case Type::Address:
        return isAddress(value);
    default:
        return !value.empty() && value.size() <= maximumTextLength;
    }
}

std::optional<uint64_t> ValueFormat::parseInteger(std::string_view value) const
{
    uint64_t number = 0;
    auto parsed = std::from_chars(value.data(), value.data() + value.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size())
        return std::nullopt;
    if (static_cast<double>(number) < minimum || static_cast<double>(number) > maximum)
        return std::nullopt;
    return number;
}

std::optional<double> ValueFormat::parseDecimal(std::string_view value) const
{
    double number = 0;
    auto parsed = std::from_chars(value.data(), value.data() + value.size(), number, std::chars_format::fixed);
    if (parsed.ec != std::errc() || parsed.ptr != value.data() + value.size() || !std::isfinite(number))
        return std::nullopt;
    if (number < minimum || number > maximum)
        return std::nullopt;
    return number;
}

std::optional<size_t> ValueFormat::parseChoice(std::string_view value) const
{
    auto position = std::find(choices.begin(), choices.end(), value);
    if (position == choices.end())
        return std::nullopt;
    return static_cast<size_t>(position - choices.begin());
}

bool isName(std::string_view text)
{
    auto isNameCharacter = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '.' || c == '_'
            || c == '-';
    };
    return !text.empty() && text.size() <= maximumNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
}

// Host part of an address without brackets, and the family of the host: AF_INET or AF_INET6.
struct HostAddress {
    std::string host;
    int family = AF_UNSPEC;
};

static std::optional<HostAddress> parseHostAddress(std::string_view text)
{
    auto colon = text.rfind(':');
    if (colon == std::string_view::npos || text.size() > maximumAddressLength)
        return std::nullopt;
    static const ValueFormat portFormat = ValueFormat::integer(1, UINT16_MAX);
    if (!portFormat.parseInteger(text.substr(colon + 1)))
        return std::nullopt;
    std::string_view host = text.substr(0, colon);
    HostAddress result;
    bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    result.family = bracketed ? AF_INET6 : AF_INET;
    result.host = bracketed ? host.substr(1, host.size() - 2) : host;
    in6_addr ignored {};
    if (inet_pton(result.family, result.host.c_str(), &ignored) != 1)
        return std::nullopt;
    return result;
}

bool isAddress(std::string_view text) { return parseHostAddress(text).has_value(); }

bool isLoopbackAddress(std::string_view text)
{
    auto address = parseHostAddress(text);
    if (!address)
        return false;
    return address->family == AF_INET ? address->host.compare(0, 4, "127.") == 0 : address->host == "::1";
}

} // namespace shallotdrift::internal
