#pragma once

#include "../Instances/OperatorOverrides.h"
#include "Handbook.h"

#include <operator.pb.h>

#include <deque>

namespace shallotdrift {

// Handles operators' requests in the fleet manager: queries, changes to the fleet and the handbook, and the audit trail
// of changes. This class only decides; the fleet manager stores the changed records and applies the overrides to the
// planner. Repeating a change has no effect while its change id is in the audit trail, which keeps the latest 500
// changes.
class OperatorRequestHandler {
public:
    OperatorRequestHandler(const InstancePlanner&, std::string managerName);

    struct Response {
        std::string reply {}; // serialized reply of the rpc
        bool sendAfterCommit = false; // send the reply only once all records changed so far are stored
    };
    // Handles a serialized request. call is the name of an rpc in proto/operator.proto. Returns nullopt for an unknown
    // rpc or a request that cannot be parsed.
    std::optional<Response> handle(const std::string& call, const std::string& request, WallTime now);

    // Call after each update of the planner's view of the fleet.
    void onFleetChanged() { overrides_.markDrained(planner_); }
    const OperatorOverrides& overrides() const { return overrides_; }
    void setConfigurationVersion(uint64_t version) { configurationVersion_ = version; }

    // Returns the records that changed since the previous call; an empty value means that the record is deleted.
    std::vector<OperatorOverrides::Record> takeChangedRecords();
    // Loads a stored record. Returns false if the key does not belong to this class or the value cannot be parsed.
    bool restore(const std::string& key, const std::string& value);

private:
    // A requested change, whether accepted or refused, and the reply to it.
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
    std::map<std::string, AuditEvent> auditEvents_; // by change id
    std::set<std::string> changedEntries_; // names of handbook entries that changed since takeChangedRecords
    std::vector<OperatorOverrides::Record> changedAuditRecords_;
};

} // namespace shallotdrift
