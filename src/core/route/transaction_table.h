#ifndef CARAWAYHAVEN_CORE_ROUTE_TRANSACTION_TABLE_H_
#define CARAWAYHAVEN_CORE_ROUTE_TRANSACTION_TABLE_H_

#include <map>
#include <string_view>

#include "carawayhaven/names.h"

namespace carawayhaven {

/// Place of an open transaction; all its steps go there.
struct OpenTransaction {
  ServiceName service;
  EndpointName endpoint;
  VmName owner;
  /// Term in which it began; it cannot outlive the term.
  Term term = 0;
  /// Its commit is under way and decides its end.
  bool is_committing = false;
};

/// The open transactions of a front. Not thread-safe.
class TransactionTable {
 public:
  void Add(const TransactionId& id, OpenTransaction transaction);

  /// Returns the transaction, or null when it is not open.
  OpenTransaction* Find(std::string_view id);

  void Remove(std::string_view id);

  /// Removes the transactions that `owner` holds.
  void RemoveAllOfOwner(const VmName& owner);

  bool empty() const { return transactions_.empty(); }

 private:
  std::map<TransactionId, OpenTransaction, std::less<>> transactions_;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_ROUTE_TRANSACTION_TABLE_H_
