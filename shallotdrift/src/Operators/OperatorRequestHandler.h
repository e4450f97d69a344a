#pragma once

#include "../Instances/OperatorOverrides.h"
#include "Handbook.h"

#include <operator.pb.h>

#include <deque>

namespace shallotdrift {

// Answers the calls of operators at the manager of the fleet: the handbook, changes of the fleet, and their audit
// trail. It decides only; its owner stores the records and carries out the directives.
class OperatorRequestHandler {
public:
    OperatorRequestHandler(const InstancePlanner&, std::string managerName);

    struct Response {
        std::string reply {}; // a serialized message of proto/operator.proto
        bool sendAfterCommit = false; // the reply may be sent once all records so far are stored
    };
    // The call's name is that of the schema file. Empty for an unknown call or a request that cannot be read.
    std::optional<Response> handle(const std::string& call, const std::string& request, WallTime now);

    // After each change of what the planner knows.
    void onFleetChanged() { overrides_.markDrained(planner_); }
    const OperatorOverrides& overrides() const { return overrides_; }
    void setConfigurationVersion(uint64_t version) { configurationVersion_ = version; }

    // Records that have changed since the last call; an empty value removes the record.
    std::vector<OperatorOverrides::Record> takeChangedRecords();
    // False for a record that is not the desk's, or cannot be read.
    bool restore(const std::string& key, const std::string& value);

private:
    // A change that was asked for, with its outcome.
    struct AuditEvent {
        Milliseconds at { 0 }; // Unix time
        std::string actor {};
        std::string action {};
        std::string reason {};
        proto::ChangeReply reply {};
    };
    using Steps = std::vector<proto::Step>;
    template <typename Request>
    Response applyChange(const Request&, WallTime, Steps (OperatorRequestHandler::*)(const Request&));
    template <typename Request, typename Reply>
    std::optional<Response> handleQuery(
        const std::string& bytes, Reply (OperatorRequestHandler::*)(const Request&) const) const;
    template <typename Request>
    std::optional<Response> handleChange(
        const std::string& bytes, WallTime, Steps (OperatorRequestHandler::*)(const Request&));

    proto::StatusReply status(const proto::StatusRequest&) const;
    proto::ExplainReply explain(const proto::ExplainRequest&) const;
    proto::AuditReply audit(const proto::AuditRequest&) const;
    proto::ListHandbookReply listHandbook(const proto::ListHandbookRequest&) const;
    proto::HandbookEntry showHandbook(const proto::ShowHandbookRequest&) const;
    proto::RehearseReply rehearse(const proto::RehearseRequest&) const;

    Steps proposeHandbook(const proto::ProposeHandbookRequest&);
    Steps reviewHandbook(const proto::ReviewHandbookRequest&);
    Steps invoke(const proto::InvokeRequest&);
    Steps lend(const proto::LendRequest&);
    Steps returnLent(const proto::ReturnLentRequest&);
    Steps drain(const proto::DrainRequest&);
    Steps startWave(const proto::StartWaveRequest&);
    Steps changeWave(const proto::ChangeWaveRequest&);

    proto::Step executeStep(const HandbookStep&, const std::string& id);
    std::vector<std::string> factsOfInstance(const std::string& name) const;
    std::vector<std::string> factsOfPool(const std::string& name) const;
    std::vector<std::string> factsOfWave(const std::string& name) const;
    std::vector<std::string> factsOfHandbook(const std::string& name) const;
    std::vector<std::string> factsOfChange(const std::string& name) const;
    internal::Handbook::FleetNames fleetNames() const;
    void addAuditEvent(const std::string& id, AuditEvent&&);

    const InstancePlanner& planner_;
    std::string managerName_;
    uint64_t configurationVersion_ = 0;
    OperatorOverrides overrides_;
    internal::Handbook handbook_;
    std::map<std::string, AuditEvent> auditEvents_; // by id of the change
    std::set<std::string> changedEntries_; // names of entries
    std::vector<OperatorOverrides::Record> changedAuditRecords_;
};

} // namespace shallotdrift
