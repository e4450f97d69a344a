#include "CheckConfigCommand.h"

#include "EntrySettings.h"
#include "FleetConfiguration.h"
#include "HandbookPlan.h"

#include <array>
#include <fmt/format.h>
#include <optional>
#include <ostream>
#include <string_view>

namespace shallotdrift {

static constexpr std::string_view commandName = "check-config";

std::string checkConfigHelp()
{
    return "check-config [--settings=FILE] [--configuration=FILE] [--handbook=FILE] ...\n"
           "    checks files without a running entry instance and lists every mistake\n";
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
            return fmt::format("handbook entry with {} steps: {}", plan.steps.size(), plan.title);
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

struct FileOption {
    std::string_view prefix;
    void (FileChecker::*check)(const std::string&);
};

// In the order of checking: the configuration comes before the handbook entries that are compared with it.
static constexpr std::array<FileOption, 3> fileOptions { {
    { "--settings=", &FileChecker::checkSettings },
    { "--configuration=", &FileChecker::checkConfiguration },
    { "--handbook=", &FileChecker::checkHandbook },
} };

unsigned runCheckConfigCommand(const std::vector<std::string>& words, std::ostream& output, std::ostream& errors)
{
    std::vector<std::string> options(words);
    if (!options.empty() && options.front() == commandName)
        options.erase(options.begin());
    auto starts = [](const std::string& word, std::string_view prefix) {
        return word.size() > prefix.size() && word.compare(0, prefix.size(), prefix) == 0;
    };
    bool understood = !options.empty();
    for (const auto& word : options) {
        bool known = false;
        for (const auto& option : fileOptions)
            known = known || starts(word, option.prefix);
        if (!known)
            errors << "check-config: " << word << " is not understood\n";
        understood = understood && known;
    }
    if (!understood) {
        errors << checkConfigHelp();
        return static_cast<unsigned>(ResultCode::InvalidCommand);
    }
    FileChecker checker(output, errors);
    for (const auto& option : fileOptions) {
        for (const auto& word : options) {
            if (starts(word, option.prefix))
                (checker.*option.check)(word.substr(option.prefix.size()));
        }
    }
    return static_cast<unsigned>(checker.code());
}

} // namespace shallotdrift
