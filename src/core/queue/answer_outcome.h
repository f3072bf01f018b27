#ifndef CARAWAYHAVEN_CORE_QUEUE_ANSWER_OUTCOME_H_
#define CARAWAYHAVEN_CORE_QUEUE_ANSWER_OUTCOME_H_

#include "carawayhaven/outcome.h"
#include "core/config/team_config.h"

namespace carawayhaven {

struct EndpointAnswer;
struct EndpointCommand;
struct Request;

/// Returns the endpoint command for a request. The caller sets the correlation
/// id and the term.
EndpointCommand CommandFor(const Request& request);

/// Converts the endpoint's answer to the outcome of the request.
Outcome OutcomeOf(const EndpointAnswer& answer, const Request& request);

/// Returns whether the outcome may be reported only after a replica has
/// confirmed the answer's log position.
bool NeedsConfirmation(const Request& request, const EndpointAnswer& answer,
                       AcknowledgeMode mode);

/// Returns whether the request can change data. True forevery kind except a
/// read statement.
bool IsWrite(const Request& request);

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_QUEUE_ANSWER_OUTCOME_H_
