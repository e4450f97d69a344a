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
            { "when", &S::whenToUse, ValueFormat::text(), required, "when to invoke it; shown to the operator" },
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
                    "pool that lends; any pool when not given, standby pools first" },
                { "to", &S::toPool, F::name(), required, "pool that borrows" },
                { "count", &S::count, F::integer(1, 1000, "instances"), required, "instances to lend" },
            } },
        { "step N",
            {
                action,
                { "pool", &S::pool, F::name(), optional, "pool that borrowed; all pools when not given" },
            } },
        { "step N",
            {
                action,
                { "zone", &S::zone, F::name(), optional, "zone to drain; all zones of the pool when not given" },
                { "pool", &S::pool, F::name(), optional, "pool to drain; all pools of the zone when not given" },
                { "max_parallel", &S::maximumParallel, F::integer(0, 1000, "instances"), optional,
                    "instances processed at the same time; 0 for a quarter of them" },
            } },
        { "step N",
            {
                action,
                { "zone", &S::zone, F::name(), optional, "zone to restart; all zones when not given" },
                { "pool", &S::pool, F::name(), optional, "pool to restart; all pools when not given" },
                { "max_parallel", &S::maximumParallel, F::integer(0, 1000, "instances"), optional,
                    "instances processed at the same time; 0 for a quarter of them" },
            } },
    };
    return sections;
}

} // namespace shallotdrift::internal
