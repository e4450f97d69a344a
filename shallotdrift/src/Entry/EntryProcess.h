#pragma once

#include "../Base/Error.h"
#include "../Settings/EntrySettings.h"

#include <memory>

namespace shallotdrift {

// One entry instance: starts the duties' threads, joins them by rings and stops them in order.
class EntryProcess {
public:
    explicit EntryProcess(EntrySettings);
    ~EntryProcess();
    EntryProcess(const EntryProcess&) = delete;
    EntryProcess& operator=(const EntryProcess&) = delete;

    Result<void> start();
    // Planned stop: readiness first, then the requests in flight, then the entry leaves its gate.
    void stop();

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

// Runs an entry until SIGTERM or SIGINT. Returns the exit status.
int runEntry(const EntrySettings&);

} // namespace shallotdrift
