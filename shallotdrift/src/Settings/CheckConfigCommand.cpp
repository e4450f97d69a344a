#include "CheckConfigCommand.h"

#include "HandbookPlan.h"
#include "NodeSettings.h"
#include "SettingsFile.h"

#include <algorithm>
#include <fmt/format.h>
#include <ostream>
#include <string_view>

namespace shallotdrift {

static constexpr std::string_view commandName = "check-config";

std::string checkConfigHelp()
{
    return "check-config FILE ...\n"
           "    checks settings files and handbook entries and lists all errors\n";
}

// Checks files one by one and keeps the result code of the first failure.
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
            BOOST_LEAF_AUTO(settings, parseNodeSettings(text, path));
            return fmt::format("settings of entry instance {} in zone {}", settings.name, settings.zone);
        });
    }

    void checkHandbook(const std::string& path)
    {
        check(path, [&](const std::string& text) -> Result<std::string> {
            BOOST_LEAF_AUTO(plan, parseHandbook(text, path));
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
    ResultCode code_ = ResultCode::Ok;
};

struct FileType {
    std::string_view section; // a line that starts with this text marks a file of this type
    void (FileChecker::*check)(const std::string& path);
};

static constexpr FileType settingsType { "[node]", &FileChecker::checkSettings };
static constexpr FileType handbookType { "[handbook]", &FileChecker::checkHandbook };

static bool containsSection(const std::string& path, std::string_view section)
{
    return handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(text, readSettingsFile(path));
            return ("\n" + text).find("\n" + std::string(section)) != std::string::npos;
        },
        [](const Error&) { return false; });
}

// A file without a [handbook] section is checked as settings.
static const FileType& typeOf(const std::string& path)
{
    return containsSection(path, handbookType.section) ? handbookType : settingsType;
}

unsigned runCheckConfigCommand(const std::vector<std::string>& arguments, std::ostream& output, std::ostream& errors)
{
    std::vector<std::string> paths(arguments);
    if (!paths.empty() && paths.front() == commandName)
        paths.erase(paths.begin());
    bool valid = !paths.empty();
    for (const auto& path : paths) {
        if (path.empty() || path.front() == '-') {
            errors << "check-config: unknown argument " << path << "\n";
            valid = false;
        }
    }
    if (!valid) {
        errors << checkConfigHelp();
        return static_cast<unsigned>(ResultCode::InvalidCommand);
    }
    FileChecker checker(output, errors);
    for (const auto& path : paths)
        (checker.*typeOf(path).check)(path);
    return static_cast<unsigned>(checker.code());
}

} // namespace shallotdrift
