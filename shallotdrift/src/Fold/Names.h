#pragma once

#include "../Base/Time.h"

#include <optional>
#include <string>
#include <string_view>

namespace shallotdrift::internal {

// Identifier of 1 to 128 visible ASCII characters without '/', which separates the parts of an operation id.
bool isValidName(std::string_view);

// Free text that is kept in the state, for example an address; may be empty.
bool isShortText(std::string_view);

// Time of issue of an idempotency key "<unix ms>-<random>"; empty when malformed. The time has exactly 13 digits, so
// that the order of the keys as text is the order of their times.
std::optional<WallTime> issueTimeOf(std::string_view key);

// Id of the maintenance of an instance in a wave.
std::string maintenanceId(const std::string& wave, const std::string& instance);

// Text for the audit trail: cut to the limit, with bytes outside printable ASCII replaced. A cut inside a UTF-8
// sequence would make the snapshot unreadable.
std::string printable(std::string_view, size_t limit);

} // namespace shallotdrift::internal
