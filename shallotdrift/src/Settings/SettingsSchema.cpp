#include "SettingsSchema.h"

namespace shallotdrift::internal {

static constexpr auto required = Presence::Required;
static constexpr auto optional = Presence::Optional;

const SectionSchema<HandbookPlan>& handbookSection()
{
    using S = HandbookPlan;
    static const SectionSchema<S> schema { "handbook",
        {
            { "title", &S::title, ValueFormat::text(), required, "what the entry does, in a few words" },
            { "when", &S::whenToUse, ValueFormat::text(), required,
                "circumstances in which to invoke the entry; shown to the operator" },
        },
        required };
    return schema;
}

const std::vector<SectionSchema<HandbookStep>>& stepSections()
{
    using S = HandbookStep;
    using F = ValueFormat;
    static const KeySchema<S> action { "action", enumMember<S, &S::action>(),
        F::choice({ "lend", "return", "drain", "wave" }), required, "what the step does" };
    static const std::vector<SectionSchema<S>> sections {
        { "step N",
            {
                action,
                { "from", &S::fromPool, F::name(), optional,
                    "pool that lends; when not given, any pool may lend, standby pools first" },
                { "to", &S::toPool, F::name(), required, "pool that borrows" },
                { "count", &S::count, F::integer(1, 1000, "instances"), required, "number of instances to lend" },
            } },
        { "step N",
            {
                action,
                { "pool", &S::pool, F::name(), optional, "borrowing pool whose loans end; all pools when not given" },
            } },
        { "step N",
            {
                action,
                { "zone", &S::zone, F::name(), optional, "zone to drain; all zones of the pool when not given" },
                { "pool", &S::pool, F::name(), optional, "pool to drain; all pools of the zone when not given" },
                { "max_parallel", &S::maximumParallel, F::integer(0, 1000, "instances"), optional,
                    "maximum number of instances drained at the same time; 0 means a quarter of the selected "
                    "instances, but at least 1" },
            } },
        { "step N",
            {
                action,
                { "zone", &S::zone, F::name(), optional, "zone to restart; all zones when not given" },
                { "pool", &S::pool, F::name(), optional, "pool to restart; all pools when not given" },
                { "max_parallel", &S::maximumParallel, F::integer(0, 1000, "instances"), optional,
                    "maximum number of instances restarted at the same time; 0 means a quarter of the selected "
                    "instances, but at least 1" },
            } },
    };
    return sections;
}

} // namespace shallotdrift::internal
