#pragma once

#include "../Http/HttpMessage.h"
#include "TargetClient.h"

namespace shallotdrift::internal {

// Head of the request for an attempt.
std::string formatAttemptHead(const TargetAttempt&);

// Outcome of a complete answer: AnswerInvalid unless ids, length, digest and execution fit the attempt.
AttemptResult checkAnswer(const TargetAttempt&, HttpMessage&&);

} // namespace shallotdrift::internal
