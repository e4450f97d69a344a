#pragma once

#include "../Base/Time.h"
#include "../Fold/Fold.h"

#include <operator.pb.h>

#include <functional>
#include <string>
#include <vector>

namespace shallotdrift {

// What the handler needs of its entry. Calls are made on gRPC's threads.
class EntryAccess {
public:
    virtual ~EntryAccess() = default;

    // Calls the function with the state while it cannot change. The function must be short.
    virtual void readState(const std::function<void(const FleetState&, Offset)>&) = 0;
    // Appends the records and waits for their verdicts, in order. An empty result: the log took them not in time
    // (LogUnavailable); the records may still be folded later, and repeating the change id has no further effect.
    virtual std::vector<FoldedRecord> submit(std::vector<proto::Record>, Milliseconds timeout) = 0;
    // Fills in what only the entry knows: readiness, peers' ages, queued and running requests.
    virtual void fillStatus(proto::StatusReply&) = 0;
    // The latest automatic decisions on a subject that are not in the log, for example refusals of requests.
    virtual std::vector<std::string> localFacts(const std::string& subject) = 0;
};

// Implements the calls of proto/operator.proto on an EntryAccess.
class OperatorHandler {
public:
    // Time that the log has for taking and folding a change: shorter than the commands' own timeout of 10 s, so that
    // the answer still reaches the operator.
    static constexpr Milliseconds defaultSubmitTimeout { 5000 };

    explicit OperatorHandler(EntryAccess&, Milliseconds submitTimeout = defaultSubmitTimeout);

    proto::StatusReply status(const proto::StatusRequest&);
    proto::ExplainReply explain(const proto::ExplainRequest&);
    proto::AuditReply audit(const proto::AuditRequest&);
    proto::ListHandbookReply listHandbook(const proto::ListHandbookRequest&);
    proto::HandbookEntry showHandbook(const proto::ShowHandbookRequest&);
    proto::ChangeReply proposeHandbook(const proto::ProposeHandbookRequest&);
    proto::ChangeReply reviewHandbook(const proto::ReviewHandbookRequest&);
    proto::RehearseReply rehearse(const proto::RehearseRequest&);
    proto::ChangeReply invoke(const proto::InvokeRequest&);
    proto::ChangeReply lend(const proto::LendRequest&);
    proto::ChangeReply returnLent(const proto::ReturnLentRequest&);
    proto::ChangeReply drain(const proto::DrainRequest&);
    proto::ChangeReply startWave(const proto::StartWaveRequest&);
    proto::ChangeReply changeWave(const proto::ChangeWaveRequest&);
    proto::ChangeReply abortMove(const proto::AbortMoveRequest&);
    proto::ChangeReply removeEntry(const proto::RemoveEntryRequest&);
    proto::ChangeReply proposeConfiguration(const proto::ProposeConfigurationRequest&);
    proto::ConfigurationReply showConfiguration(const proto::ShowConfigurationRequest&);

private:
    EntryAccess& entry_;
    Milliseconds submitTimeout_;
};

} // namespace shallotdrift
