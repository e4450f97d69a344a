#pragma once

namespace shallotdrift {

struct NodeSettings;
struct HandbookPlan;
struct HandbookStep;
struct KeyReference;

namespace internal {
    class IniText;
    class ValidationErrors;
    struct IniKey;
    struct IniSection;
    struct ValueFormat;
    template <typename T> struct KeySchema;
} // namespace internal

} // namespace shallotdrift
