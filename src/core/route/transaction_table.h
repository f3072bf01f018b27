#ifndef CARAWAYHAVEN_CORE_ROUTE_TRANSACTION_TABLE_H_
#define CARAWAYHAVEN_CORE_ROUTE_TRANSACTION_TABLE_H_

#include <map>
#include <string_view>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Endpoint and pool owner of an open transaction. All steps of the transaction
/// are sent there.
struct OpenTransaction {
  ServiceName service;
  EndpointName endpoint;
  VmName owner;
  /// Term in which the transaction began. A change of term ends the
  /// transaction.
  Term term = 0;
  /// True while the transaction is being committed. The outcome of the commit
  /// decides how the transaction ends.
  bool is_committing = false;
};

/// The open transactions of a request router. Not thread-safe.
class TransactionTable {
 public:
  void Add(const TransactionId& id, OpenTransaction transaction);

  /// Returns the transaction, or null when it is not open.
  OpenTransaction* Find(std::string_view id);

  void Remove(std::string_view id);

  /// Removes the transactions whose pool owner is `owner`.
  void RemoveAllOfOwner(const VmName& owner);

  bool empty() const { return transactions_.empty(); }

 private:
  std::map<TransactionId, OpenTransaction, std::less<>> transactions_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_TRANSACTION_TABLE_H_
