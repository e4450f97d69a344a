#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace shallotdrift {

// A handbook entry that parses.
inline constexpr const char* returnHandbook = "[handbook]\ntitle = Return\nwhen = always\n[step 1]\naction = return\n";

// Configuration texts for tests and benchmarks, in the format of the Settings module.
struct TestFleet {
    std::vector<std::string> zones { "north", "south" };
    std::map<std::string, uint32_t> pools { { "reports", 1 }, { "accounts", 0 } }; // with their minimums
    int64_t keyWindowMilliseconds = 900000;

    std::string ini() const
    {
        std::string text;
        for (const auto& zone : zones)
            text += fmt::format("[zone {}]\nregion = home\n", zone);
        for (const auto& [pool, minimum] : pools)
            text += fmt::format(
                "[pool {}]\nminimum_available = {}\nspare = {}\n", pool, minimum, pool == "accounts" ? "yes" : "no");
        const auto& pool = pools.begin()->first;
        text += fmt::format("[kind issue]\npool = {}\nidempotent = no\n", pool);
        text += fmt::format("[kind check]\npool = {}\nurgency = urgent\n", pool);
        text += fmt::format("[kind ledger]\npool = {}\nlong_running = yes\nurgency = bulk\n", pool);
        text += "[team surveyors]\nslot_quota = 8\n";
        return text + fmt::format("[limits]\nkey_window_s = {}\n", keyWindowMilliseconds / 1000);
    }
};

} // namespace shallotdrift
