#include "core/route/transaction_table.h"

#include <utility>

namespace carawayhaven {

void TransactionTable::Add(const TransactionId& id,
                           OpenTransaction transaction) {
  transactions_.insert_or_assign(id, std::move(transaction));
}

OpenTransaction* TransactionTable::Find(std::string_view id) {
  const auto found = transactions_.find(id);
  return found == transactions_.end() ? nullptr : &found->second;
}

void TransactionTable::Remove(std::string_view id) {
  const auto found = transactions_.find(id);
  if (found != transactions_.end()) transactions_.erase(found);
}

void TransactionTable::RemoveAllOfOwner(const VmName& owner) {
  std::erase_if(transactions_,
                [&owner](const auto& e) { return e.second.owner == owner; });
}

}  // namespace carawayhaven
