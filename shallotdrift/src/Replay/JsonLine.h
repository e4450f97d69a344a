#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shallotdrift::internal {

// Reads the members of one JSON object and notes each mistake with its place.
class JsonLine {
public:
    JsonLine(const nlohmann::json& object, std::string place, std::vector<std::string>& mistakes)
        : object_(object)
        , place_(std::move(place))
        , mistakes_(mistakes)
    {
    }

    bool has(const char* name) const { return object_.contains(name); }
    std::string text(const char* name, bool required = false);
    // A whole number between the bounds.
    int64_t number(const char* name, int64_t lowest, int64_t highest, std::optional<int64_t> fallback = std::nullopt);
    std::optional<double> real(const char* name);
    bool flag(const char* name);
    // Members that no call has asked for are mistakes.
    void rejectUnknown();
    void mistake(const std::string& what);

private:
    const nlohmann::json* find(const char* name);

    const nlohmann::json& object_;
    std::string place_;
    std::vector<std::string>& mistakes_;
    std::set<std::string> known_;
};

} // namespace shallotdrift::internal
