#ifndef CARAWAYHAVEN_NAMES_H_
#define CARAWAYHAVEN_NAMES_H_

#include <cstdint>
#include <string>

namespace carawayhaven {

using VmName = std::string;
using DataCentreName = std::string;
using EndpointName = std::string;
using ServiceName = std::string;
using TeamName = std::string;
using OrganisationName = std::string;

/// Identifies an open transaction. Unique across the proxies of a deployment.
using TransactionId = std::string;

/// Matches a reply to its request on one connection. Zero is never used.
using CorrelationId = std::uint64_t;

using Term = std::uint64_t;

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_NAMES_H_
