#include "CheckConfigCommand.h"

#include "EntrySettings.h"
#include "FleetConfiguration.h"
#include "HandbookPlan.h"
#include "NodeSettings.h"

#include <algorithm>
#include <fmt/format.h>
#include <optional>
#include <ostream>
#include <string_view>

namespace shallotdrift {

static constexpr std::string_view commandName = "check-config";

std::string checkConfigHelp()
{
    return "check-config FILE ...\n"
           "    checks settings, configurations and handbook entries and lists every mistake\n";
}

// Checks the files one by one and keeps the configuration for the handbook entries that follow it.
class FileChecker {
public:
    FileChecker(std::ostream& output, std::ostream& errors)
        : output_(output)
        , errors_(errors)
    {
    }

    void checkSettings(const std::string& path)
    {
        check(path, [&](const std::string& text) -> Result<std::string> {
            BOOST_LEAF_AUTO(settings, parseEntrySettings(text, path));
            return fmt::format("settings of entry {} in zone {}", settings.id, settings.zone);
        });
    }

    void checkNodeSettings(const std::string& path)
    {
        check(path, [&](const std::string& text) -> Result<std::string> {
            BOOST_LEAF_AUTO(settings, parseNodeSettings(text, path));
            return fmt::format("settings of entry {} in zone {}, on the users' platform", settings.name, settings.zone);
        });
    }

    void checkConfiguration(const std::string& path)
    {
        check(path, [&](const std::string& text) -> Result<std::string> {
            BOOST_LEAF_AUTO(configuration, parseFleetConfiguration(text, path));
            configuration_ = configuration;
            return fmt::format("configuration with {} zones, {} pools, {} kinds, {} teams", configuration.zones.size(),
                configuration.pools.size(), configuration.kinds.size(), configuration.teams.size());
        });
    }

    void checkHandbook(const std::string& path)
    {
        check(path, [&](const std::string& text) -> Result<std::string> {
            BOOST_LEAF_AUTO(plan, parseHandbook(text, path));
            std::string message;
            for (const auto& mistake :
                configuration_ ? unknownNames(plan, *configuration_) : std::vector<std::string> {})
                message += fmt::format("{}{}:1: {}", message.empty() ? "" : "\n", path, mistake);
            if (!message.empty())
                return fail(ResultCode::InvalidHandbook, message);
            return fmt::format(
                "handbook entry, {}, {} {}", plan.title, plan.steps.size(), plan.steps.size() == 1 ? "step" : "steps");
        });
    }

    ResultCode code() const { return code_; }

private:
    template <typename Function> void check(const std::string& path, Function&& describe)
    {
        handleError(
            [&]() -> Result<void> {
                BOOST_LEAF_AUTO(text, readSettingsFile(path));
                BOOST_LEAF_AUTO(description, describe(text));
                output_ << path << ": " << description << "\n";
                return {};
            },
            [&](const Error& error) {
                errors_ << error.message << "\n";
                if (code_ == ResultCode::Ok)
                    code_ = error.code;
            });
    }

    std::ostream& output_;
    std::ostream& errors_;
    std::optional<FleetConfiguration> configuration_;
    ResultCode code_ = ResultCode::Ok;
};

struct FileType {
    std::string_view section; // a line that starts with it tells the type
    void (FileChecker::*check)(const std::string& path);
};

// The configuration, which has no section of a fixed name, is what the other types are not.
static constexpr FileType settingsType { "[entry]", &FileChecker::checkSettings };
static constexpr FileType nodeSettingsType { "[node]", &FileChecker::checkNodeSettings };
static constexpr FileType handbookType { "[handbook]", &FileChecker::checkHandbook };
static constexpr FileType configurationType { {}, &FileChecker::checkConfiguration };

static bool holdsSection(const std::string& path, std::string_view section)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(text, readSettingsFile(path));
            return ("\n" + text).find("\n" + std::string(section)) != std::string::npos;
        },
        [](const Error&) { return false; });
}

static const FileType& typeOf(const std::string& path)
{
    for (const auto* type : { &settingsType, &nodeSettingsType, &handbookType }) {
        if (holdsSection(path, type->section))
            return *type;
    }
    return configurationType;
}

unsigned runCheckConfigCommand(const std::vector<std::string>& words, std::ostream& output, std::ostream& errors)
{
    std::vector<std::string> paths(words);
    if (!paths.empty() && paths.front() == commandName)
        paths.erase(paths.begin());
    bool understood = !paths.empty();
    for (const auto& path : paths) {
        if (path.empty() || path.front() == '-') {
            errors << "check-config: " << path << " is not understood\n";
            understood = false;
        }
    }
    if (!understood) {
        errors << checkConfigHelp();
        return static_cast<unsigned>(ResultCode::InvalidCommand);
    }
    FileChecker checker(output, errors);
    // Handbook entries come last, because they are compared with the configuration.
    std::stable_partition(paths.begin(), paths.end(), [](const auto& path) { return &typeOf(path) != &handbookType; });
    for (const auto& path : paths)
        (checker.*typeOf(path).check)(path);
    return static_cast<unsigned>(checker.code());
}

} // namespace shallotdrift
