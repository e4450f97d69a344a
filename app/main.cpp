#include "shallotdrift/Base.h"
#include "shallotdrift/Node.h"
#include "shallotdrift/Operators.h"
#include "shallotdrift/Settings.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

DEFINE_string(settings, "", "settings file (INI) of the entry instance");
DEFINE_string(
    entries, "127.0.0.1:7302", "operator addresses (IP:port) of entry instances, separated by commas, tried in order");
DEFINE_string(operator_name, "", "name of the operator; with TLS the common name of the certificate is used instead");
DEFINE_string(
    change_id, "", "id of the change; to repeat a change whose response was lost, pass the id that was printed");
DEFINE_string(reason, "", "reason for the change, recorded in the audit trail");
DEFINE_bool(json, false, "print replies as JSON");
DEFINE_int32(timeout_ms, 10000, "timeout of a command in milliseconds");
DEFINE_string(certificate_file, "", "operator's certificate (PEM)");
DEFINE_string(key_file, "", "operator's private key (PEM)");
DEFINE_string(authority_file, "", "certificate authority of the entry instances (PEM)");

namespace {

using namespace shallotdrift; // NOLINT(google-build-using-namespace)
using Arguments = std::vector<std::string>;

constexpr int exitUsageError = 2;

std::vector<std::string> splitAtCommas(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

int runNodeCommand(const Arguments&)
{
    if (FLAGS_settings.empty()) {
        std::cerr << "node: expected --settings=FILE\n";
        return exitUsageError;
    }
    return handleError(
        []() -> Result<int> {
            BOOST_LEAF_AUTO(settings, readNodeSettings(FLAGS_settings));
            useAsyncStdoutLog();
            return runNode(settings);
        },
        [](const Error& error) {
            std::cerr << error.message << "\n";
            return exitUsageError;
        });
}

Arguments withoutFirst(const Arguments& arguments) { return { arguments.begin() + 1, arguments.end() }; }

int runOperator(const Arguments& arguments)
{
    OperatorCommandOptions options;
    options.entryAddresses = splitAtCommas(FLAGS_entries);
    options.operatorName = FLAGS_operator_name;
    options.changeId = FLAGS_change_id;
    options.reason = FLAGS_reason;
    options.json = FLAGS_json;
    options.timeout = Milliseconds { FLAGS_timeout_ms };
    options.certificateFile = FLAGS_certificate_file;
    options.keyFile = FLAGS_key_file;
    options.authorityFile = FLAGS_authority_file;
    return exitStatusOf(runOperatorCommand(arguments, options, std::cout, std::cerr));
}

int printCodes(const Arguments&)
{
    for (const auto& info : resultCodeTable())
        std::cout << static_cast<unsigned>(info.code) << "\t" << info.name << "\t" << info.description << "\n";
    return 0;
}

const char* usage()
{
    return "shallotdrift COMMAND [FLAGS]\n"
           "  node --settings=FILE                run an entry instance\n"
           "  check-config FILE ...               check settings files and handbook entries\n"
           "  check-fleet-config FILE [FILE]      check a fleet's configuration (JSON) before it is sent, and list "
           "what\n"
           "                                      changes against the one in force, the second file\n"
           "  codes                               list the result codes\n";
}

int printHelp(const Arguments&)
{
    std::cout << usage() << "Operator commands:\n" << operatorCommandHelp();
    return 0;
}

// Removes the command and its arguments from the command line and returns them. Only flags that gflags knows are left,
// since gflags would reject a command's own flags.
Arguments extractArguments(std::vector<char*>& commandLine)
{
    Arguments arguments;
    std::vector<char*> flags { commandLine.front() };
    for (size_t i = 1; i < commandLine.size(); ++i) {
        std::string word = commandLine[i];
        auto name = word.substr(0, word.find('='));
        name.erase(0, name.find_first_not_of('-'));
        gflags::CommandLineFlagInfo info;
        bool known = word.rfind("--", 0) == 0 && gflags::GetCommandLineFlagInfo(name.c_str(), &info);
        if (known || word == "--nojson")
            flags.push_back(commandLine[i]);
        else
            arguments.push_back(word);
    }
    commandLine = flags;
    return arguments;
}

const std::map<std::string, std::function<int(const Arguments&)>>& commands()
{
    static const std::map<std::string, std::function<int(const Arguments&)>> table {
        { "node", runNodeCommand },
        { "codes", printCodes },
        { "help", printHelp },
        { "check-fleet-config",
            [](const Arguments& arguments) {
                return exitStatusOf(
                    runCheckFleetConfigCommand(withoutFirst(arguments), FLAGS_json, std::cout, std::cerr));
            } },
        { "check-config",
            [](const Arguments& arguments) {
                return exitStatusOf(runCheckConfigCommand(withoutFirst(arguments), std::cout, std::cerr));
            } },
    };
    return table;
}

} // namespace

int main(int argc, char** argv)
{
    std::vector<char*> commandLine(argv, argv + argc);
    Arguments arguments = extractArguments(commandLine);
    gflags::SetUsageMessage(usage());
    int flagCount = static_cast<int>(commandLine.size());
    char** flagArguments = commandLine.data();
    gflags::ParseCommandLineFlags(&flagCount, &flagArguments, true);
    if (arguments.empty() || arguments.front() == "--help" || arguments.front() == "-h")
        return printHelp(arguments);
    auto command = commands().find(arguments.front());
    if (command != commands().end())
        return command->second(arguments);
    if (isOperatorCommand(arguments.front()))
        return runOperator(arguments);
    std::cerr << "unknown command " << arguments.front() << "\n" << usage();
    return exitUsageError;
}
