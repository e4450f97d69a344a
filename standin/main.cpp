#include "Roles.h"

#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <map>
#include <string>

int main(int argc, char** argv)
{
    using namespace shallotdrift::standin; // NOLINT(google-build-using-namespace)
    gflags::SetUsageMessage("shallotdrift-standin ROLE [FLAGS]; roles: crowd (misbehaving clients), "
                            "relay (TCP relay), users (platform simulator)");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    static const std::map<std::string, std::function<int()>> roles {
        { "crowd", runCrowdRole },
        { "relay", runRelayRole },
        { "users", runPlatformRole },
    };
    auto role = argc == 2 ? roles.find(argv[1]) : roles.end();
    if (role == roles.end()) {
        std::cerr << gflags::ProgramUsage() << "\n";
        return 2;
    }
    return role->second();
}
