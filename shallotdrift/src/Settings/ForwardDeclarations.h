#pragma once

namespace shallotdrift {

struct NodeSettings;
struct HandbookPlan;
struct HandbookStep;
struct KeyReference;

namespace internal {
    class IniText;
    class Mistakes;
    struct IniKey;
    struct IniSection;
    struct ValueForm;
    template <typename T> struct KeyRule;
} // namespace internal

} // namespace shallotdrift
