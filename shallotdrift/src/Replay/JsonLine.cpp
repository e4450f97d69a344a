#include "JsonLine.h"

namespace shallotdrift::internal {

// A broken file repeats the same mistake on each line; the first ones are enough to mend it.
static constexpr size_t mistakesListed = 20;

void JsonLine::mistake(const std::string& what)
{
    if (mistakes_.size() < mistakesListed)
        mistakes_.push_back(place_ + ": " + what);
}

const nlohmann::json* JsonLine::find(const char* name)
{
    known_.insert(name);
    auto member = object_.find(name);
    return member == object_.end() ? nullptr : &*member;
}

std::string JsonLine::text(const char* name, bool required)
{
    const auto* member = find(name);
    if (!member) {
        if (required)
            mistake(std::string(name) + " is missing");
        return {};
    }
    if (!member->is_string() || (required && member->get_ref<const std::string&>().empty())) {
        mistake(std::string(name) + " must be a text");
        return {};
    }
    return member->get<std::string>();
}

int64_t JsonLine::number(const char* name, int64_t lowest, int64_t highest, std::optional<int64_t> fallback)
{
    const auto* member = find(name);
    if (!member) {
        if (!fallback)
            mistake(std::string(name) + " is missing");
        return fallback.value_or(lowest);
    }
    bool tooLarge = member->is_number_unsigned() && member->get<uint64_t>() > static_cast<uint64_t>(highest);
    if (!member->is_number_integer() || tooLarge || member->get<int64_t>() < lowest
        || member->get<int64_t>() > highest) {
        mistake(std::string(name) + " must be a whole number from " + std::to_string(lowest) + " to "
            + std::to_string(highest));
        return lowest;
    }
    return member->get<int64_t>();
}

std::optional<double> JsonLine::real(const char* name)
{
    const auto* member = find(name);
    if (!member)
        return std::nullopt;
    if (!member->is_number()) {
        mistake(std::string(name) + " must be a number");
        return std::nullopt;
    }
    return member->get<double>();
}

bool JsonLine::flag(const char* name)
{
    const auto* member = find(name);
    if (!member)
        return false;
    if (!member->is_boolean()) {
        mistake(std::string(name) + " must be true or false");
        return false;
    }
    return member->get<bool>();
}

void JsonLine::rejectUnknown()
{
    for (const auto& [name, value] : object_.items()) {
        if (!known_.count(name))
            mistake("unknown member " + name);
    }
}

} // namespace shallotdrift::internal
