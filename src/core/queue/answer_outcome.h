#ifndef CARAWAYHAVEN_CORE_QUEUE_ANSWER_OUTCOME_H_
#define CARAWAYHAVEN_CORE_QUEUE_ANSWER_OUTCOME_H_

#include "carawayhaven/outcome.h"
#include "core/config/team_config.h"

namespace carawayhaven {

struct EndpointAnswer;
struct EndpointCommand;
struct Request;

/// Returns the command for a request, without correlation id and term.
EndpointCommand CommandFor(const Request& request);

/// Returns the outcome that the endpoint's answer stands for.
Outcome OutcomeOf(const EndpointAnswer& answer, const Request& request);

/// Returns whether an outcome with that answer may be reported only after a
/// replica has confirmed its position.
bool NeedsConfirmation(const Request& request, const EndpointAnswer& answer,
                       AcknowledgeMode mode);

/// Returns whether the request can change data when it runs.
bool IsWrite(const Request& request);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_ANSWER_OUTCOME_H_
