#include "SettingsSchema.h"

namespace shallotdrift::internal {

static constexpr auto required = Presence::Required;
static constexpr auto optional = Presence::Optional;

const SectionSchema<HandbookPlan>& handbookSection()
{
    using S = HandbookPlan;
    static const SectionSchema<S> rules { "handbook",
        {
            { "title", &S::title, ValueFormat::text(), required, "what the entry does, in a few words" },
            { "when", &S::whenToUse, ValueFormat::text(), required, "when to invoke it; shown to the operator" },
        },
        required };
    return rules;
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
                    "pool that lends; without it any pool, those that are switched off first" },
                { "to", &S::toPool, F::name(), required, "pool that borrows" },
                { "count", &S::count, F::integer(1, 1000, "instances"), required, "instances to lend" },
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
                { "max_parallel", &S::maximumParallel, F::integer(0, 1000, "instances"), optional,
                    "instances under way at once; 0 stands for a quarter of them" },
            } },
        { "step N",
            {
                action,
                { "zone", &S::zone, F::name(), optional, "zone of the wave; without it all zones" },
                { "pool", &S::pool, F::name(), optional, "pool of the wave; without it all pools" },
                { "max_parallel", &S::maximumParallel, F::integer(0, 1000, "instances"), optional,
                    "instances under way at once; 0 stands for a quarter of them" },
            } },
    };
    return sections;
}

} // namespace shallotdrift::internal
