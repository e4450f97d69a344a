#include "SettingsTables.h"

namespace shallotdrift::internal {

// Upper bound of durations that a person may give for tasks: a week.
static constexpr double weekMilliseconds = 7.0 * 24 * 3600 * 1000;
static constexpr double hourMilliseconds = 3600.0 * 1000;
// The configuration allows requests of at most 10 minutes; longer work runs as a task under a lease.
static constexpr double longestRequestMilliseconds = 600.0 * 1000;
static constexpr double maximumInstances = 100000;

static constexpr auto required = Presence::Required;
static constexpr auto optional = Presence::Optional;

const std::vector<SectionRules<EntrySettings>>& entrySections()
{
    using S = EntrySettings;
    using F = ValueForm;
    static const std::vector<SectionRules<S>> sections {
        { "entry",
            {
                { "id", &S::id, F::name(), required, "name of this entry instance, unique in the fleet" },
                { "zone", &S::zone, F::name(), required, "availability zone of this entry instance" },
                { "caller_address", &S::callerAddress, F::address(), required, "listener for callers" },
                { "peer_address", &S::peerAddress, F::address(), required,
                    "socket for the other entry instances, as they reach it" },
                { "operator_address", &S::operatorAddress, F::address(), required,
                    "listener for operators; a loopback address unless [operators] names the TLS files" },
                { "metrics_address", &S::metricsAddress, F::address(), required,
                    "listener of the pages /metrics, /health and /ready" },
                { "log_level", &S::logLevel, F::choice({ "trace", "debug", "info", "warning", "error" }), optional,
                    "least severe log lines that are written" },
                { "fixed_peers", &S::fixedPeers, F::yesNo(), optional,
                    "addresses in [peers] are used even where the log names others, for example behind address "
                    "translation" },
            },
            required },
        { "platform",
            {
                { "address", &S::platformAddress, F::address(), required, "the platform's HTTP interface" },
                { "call_timeout_ms", &S::platformCallTimeout, F::whole(100, 60000, "ms"), optional,
                    "time after which a call to the platform counts as unanswered" },
                { "list_interval_ms", &S::listInterval, F::whole(100, 60000, "ms"), optional,
                    "time between two reads of the platform's list of instances" },
            },
            required },
        { "operators",
            {
                { "certificate_file", &S::certificateFile, F::path(), optional,
                    "PEM certificate of the operator listener" },
                { "key_file", &S::keyFile, F::path(), optional, "PEM key of the operator listener" },
                { "client_authority_file", &S::clientAuthorityFile, F::path(), optional,
                    "PEM certificates of the authority that signs operators' certificates" },
            } },
        { "limits",
            {
                { "maximum_connections", &S::maximumConnections, F::whole(1, 100000), optional,
                    "callers' connections open at once" },
                { "maximum_body_bytes", &S::maximumBodyBytes, F::whole(1024, 16 << 20, "bytes"), optional,
                    "largest body of a request or an answer" },
                { "maximum_header_bytes", &S::maximumHeaderBytes, F::whole(1024, 256 << 10, "bytes"), optional,
                    "largest header block of a request or an answer" },
                { "connections_per_target", &S::connectionsPerTarget, F::whole(1, 1024), optional,
                    "connections open at once to one target" },
            } },
        { "timing",
            {
                { "heartbeat_interval_ms", &S::heartbeatInterval, F::whole(50, 60000, "ms"), optional,
                    "time between two heartbeats to the other entry instances" },
                { "view_lease_ms", &S::viewLease, F::whole(500, 60000, "ms"), optional,
                    "time for which a gate entry allows entries of other zones to use its zone's instances" },
                { "batch_interval_ms", &S::batchInterval, F::whole(1, 1000, "ms"), optional,
                    "time for which records are collected into one append" },
                { "stop_grace_ms", &S::stopGrace, F::whole(0, 60000, "ms"), optional,
                    "time between the stop signal and the closing of the listener" },
                { "stop_limit_ms", &S::stopLimit, F::whole(0, longestRequestMilliseconds, "ms"), optional,
                    "time that requests in flight have to finish after the listener closed" },
            } },
    };
    return sections;
}

const SectionRules<ZoneConfiguration>& zoneSection()
{
    using S = ZoneConfiguration;
    static const SectionRules<S> rules { "zone NAME",
        { { "region", &S::region, ValueForm::name(), required, "region of the zone" } } };
    return rules;
}

const SectionRules<PoolConfiguration>& poolSection()
{
    using S = PoolConfiguration;
    using F = ValueForm;
    static const SectionRules<S> rules { "pool NAME",
        {
            { "minimum_available", &S::minimumAvailable, F::whole(0, maximumInstances, "instances"), required,
                "availability budget: planned work never lowers the available instances below it" },
            { "spare", &S::spare, F::yesNo(), optional, "lends its instances before other pools do" },
            { "lends", &S::lends, F::yesNo(), optional, "may lend instances to other pools" },
            { "borrows", &S::borrows, F::yesNo(), optional, "may borrow instances from other pools" },
        },
        required };
    return rules;
}

const SectionRules<KindConfiguration>& kindSection()
{
    using S = KindConfiguration;
    using F = ValueForm;
    static const SectionRules<S> rules { "kind NAME",
        {
            { "pool", &S::pool, F::name(), required, "pool whose instances run this kind of work" },
            { "urgency", choiceMember<S, &S::urgency>(), F::choice({ "urgent", "normal", "bulk" }), optional,
                "order of admission after the guaranteed shares" },
            { "guaranteed_share", &S::guaranteedShare, F::fraction(0, 1), optional,
                "part of the pool's slots; the shares of a pool's kinds sum to at most 1" },
            { "default_timeout_ms", &S::defaultTimeout, F::whole(1, weekMilliseconds, "ms"), optional,
                "deadline of a request that states none" },
            { "expected_runtime_ms", &S::expectedRuntime, F::whole(1, weekMilliseconds, "ms"), optional,
                "run time that is assumed until completions teach a better figure" },
            { "idempotent", &S::idempotent, F::yesNo(), optional, "the work may run more than once" },
            { "long_running", &S::longRunning, F::yesNo(), optional, "runs as a task under a lease, not in a slot" },
            { "queue_limit", &S::queueLimit, F::whole(1, 1000000, "requests"), optional,
                "queued requests of this kind for each entry instance" },
        } };
    return rules;
}

const SectionRules<TeamConfiguration>& teamSection()
{
    using S = TeamConfiguration;
    static const SectionRules<S> rules { "team NAME",
        { { "slot_quota", &S::slotQuota, ValueForm::whole(0, 1000000, "slots"), required,
            "slots over all entry instances; 0 is no limit" } } };
    return rules;
}

const SectionRules<LendingConfiguration>& lendingSection()
{
    using S = LendingConfiguration;
    using F = ValueForm;
    static const SectionRules<S> rules { "lending",
        {
            { "enabled", &S::enabled, F::yesNo(), optional, "instances are lent and returned automatically" },
            { "target_utilization", &S::targetUtilization, F::fraction(0.1, 1), optional,
                "part of a pool's slots in use that lending aims at" },
            { "minimum_hold_ms", &S::minimumHold, F::whole(0, hourMilliseconds, "ms"), optional,
                "time between a move and the return of the same instance" },
            { "maximum_concurrent_moves", &S::maximumConcurrentMoves, F::whole(1, 1000, "moves"), optional,
                "automatic moves under way at once" },
        } };
    return rules;
}

const SectionRules<FleetConfiguration>& limitsSection()
{
    using S = FleetConfiguration;
    using F = ValueForm;
    static const SectionRules<S> rules { "limits",
        {
            { "key_window_s", &S::keyWindow, F::whole(60, 24 * 3600, "s"), optional,
                "time for which an idempotency key is kept" },
            { "move_timeout_s", &S::moveTimeout, F::whole(5, 3600, "s"), optional,
                "time after which a move that still waits for gate entries is aborted" },
            { "maximum_timeout_ms", &S::maximumTimeout, F::whole(100, longestRequestMilliseconds, "ms"), optional,
                "longest time that a caller may allow a request" },
        } };
    return rules;
}

const SectionRules<HandbookPlan>& handbookSection()
{
    using S = HandbookPlan;
    static const SectionRules<S> rules { "handbook",
        {
            { "title", &S::title, ValueForm::text(), required, "what the entry does, in a few words" },
            { "when", &S::whenToUse, ValueForm::text(), required, "when to invoke it; shown to the operator" },
        },
        required };
    return rules;
}

const std::vector<SectionRules<HandbookStep>>& stepSections()
{
    using S = HandbookStep;
    using F = ValueForm;
    static const KeyRule<S> action { "action", choiceMember<S, &S::action>(),
        F::choice({ "lend", "return", "drain", "wave" }), required, "what the step does" };
    static const std::vector<SectionRules<S>> sections {
        { "step N",
            {
                action,
                { "from", &S::fromPool, F::name(), optional,
                    "pool that lends; without it any pool, the spare pool first" },
                { "to", &S::toPool, F::name(), required, "pool that borrows" },
                { "count", &S::count, F::whole(1, 1000, "instances"), required, "instances to lend" },
            } },
        { "step N",
            {
                action,
                { "pool", &S::pool, F::name(), optional, "pool that borrowed; without it all pools" },
            } },
        { "step N",
            {
                action,
                { "zone", &S::zone, F::name(), optional, "zone to drain; without it all zones of the pool" },
                { "pool", &S::pool, F::name(), optional, "pool to drain; without it all pools of the zone" },
                { "max_parallel", &S::maximumParallel, F::whole(0, 1000, "instances"), optional,
                    "instances under way at once; 0 leaves it to the budgets" },
            } },
        { "step N",
            {
                action,
                { "zone", &S::zone, F::name(), optional, "zone of the wave; without it all zones" },
                { "pool", &S::pool, F::name(), optional, "pool of the wave; without it all pools" },
                { "max_parallel", &S::maximumParallel, F::whole(0, 1000, "instances"), optional,
                    "instances under way at once; 0 leaves it to the budgets" },
            } },
    };
    return sections;
}

} // namespace shallotdrift::internal
