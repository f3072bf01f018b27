#include "core/limits/memory_budget.h"

#include <algorithm>
#include <utility>

namespace carawayhaven {
namespace {

constexpr std::size_t kBytesPerMb = 1024 * 1024;

// Part of the VM's memory at which connections are closed. The bytes of a
// message exist several times while it is forwarded, and the process needs
// about 20 MB without any.
constexpr std::size_t kMemoryDivisor = 4;

// Without known memory: more than callers within the limits hold together.
constexpr std::size_t kDefaultCloseBytes = 1024 * kBytesPerMb;

// The smallest budget holds some messages of the maximum length, each twice.
constexpr std::size_t kMinCloseBytes = 16 * kBytesPerMb;

bool HoldsLess(const MemoryBudget::Account* left,
               const MemoryBudget::Account* right) {
  return left->bytes() < right->bytes();
}

}  // namespace

MemoryMarks MemoryMarks::ForVm(std::size_t memory_mb) {
  MemoryMarks marks;
  marks.close =
      memory_mb == 0
          ? kDefaultCloseBytes
          : std::max(memory_mb * kBytesPerMb / kMemoryDivisor, kMinCloseBytes);
  marks.pause = marks.close / 2;
  return marks;
}

MemoryBudget::Account::Account(MemoryBudget* budget, MemoryHolder* holder)
    : budget_(budget), holder_(holder) {
  if (budget_ != nullptr && holder_ != nullptr) budget_->accounts_.insert(this);
}

MemoryBudget::Account::~Account() { Close(); }

void MemoryBudget::Account::Set(std::size_t bytes) {
  if (budget_ == nullptr || bytes == bytes_) return;
  MemoryBudget& budget = *budget_;
  budget.held_ += bytes - bytes_;
  if (holder_ != nullptr) {
    if (bytes_ == 0) ++budget.holding_;
    if (bytes == 0) --budget.holding_;
  }
  bytes_ = bytes;
  budget.OnChanged(*this);
}

void MemoryBudget::Account::Close() {
  if (budget_ == nullptr) return;
  MemoryBudget& budget = *budget_;
  budget.Remove(*this);
  if (budget.held_ <= budget.marks_.pause / 4 * 3) budget.ResumeAll();
}

void MemoryBudget::Remove(Account& account) {
  if (account.holder_ != nullptr && account.bytes_ > 0) --holding_;
  held_ -= std::exchange(account.bytes_, 0);
  accounts_.erase(&account);
  paused_.erase(&account);
  if (exempt_ == &account) exempt_ = nullptr;
  account.budget_ = nullptr;
}

std::size_t MemoryBudget::Share() const {
  return std::max(kMinShareBytes,
                  marks_.pause / std::max<std::size_t>(holding_, 1));
}

void MemoryBudget::OnChanged(Account& account) {
  // Connections resume below the mark at which they are paused, so that they
  // do not change with each message.
  if (held_ <= marks_.pause / 4 * 3) {
    ResumeAll();
    return;
  }
  if (held_ > marks_.pause && account.holder_ != nullptr && !account.paused_ &&
      &account != exempt_ && account.bytes_ > Share()) {
    Pause(account);
    if (exempt_ == nullptr) ChooseExempt();
  }
  if (&account == exempt_ && account.bytes_ < exempt_bytes_ &&
      account.bytes_ <= Share()) {
    ChooseExempt();
  }
  while (held_ > marks_.close && holding_ > 0) {
    CloseAccount(
        **std::max_element(accounts_.begin(), accounts_.end(), HoldsLess));
  }
}

void MemoryBudget::Pause(Account& account) {
  account.paused_ = true;
  paused_.insert(&account);
  ++pauses_;
  account.holder_->SetReading(false);
}

void MemoryBudget::Resume(Account& account) {
  account.paused_ = false;
  paused_.erase(&account);
  account.holder_->SetReading(true);
}

void MemoryBudget::ResumeAll() {
  exempt_ = nullptr;
  while (!paused_.empty()) Resume(**paused_.begin());
}

void MemoryBudget::ChooseExempt() {
  if (paused_.empty()) {
    exempt_ = nullptr;
    return;
  }
  exempt_ = *std::max_element(paused_.begin(), paused_.end(), HoldsLess);
  exempt_bytes_ = exempt_->bytes_;
  exempt_ticks_ = 0;
  Resume(*exempt_);
}

void MemoryBudget::CloseAccount(Account& account) {
  MemoryHolder* holder = account.holder_;
  Remove(account);
  ++closed_;
  holder->CloseForMemory();
}

void MemoryBudget::Tick() {
  if (exempt_ == nullptr) {
    ChooseExempt();
    return;
  }
  if (++exempt_ticks_ < kExemptTicks) return;
  Account& last = *exempt_;
  if (last.bytes_ == exempt_bytes_) {
    // It holds memory that others wait for and does not complete its message.
    CloseAccount(last);
  } else {
    exempt_ = nullptr;
    if (last.bytes_ > Share() && !paused_.empty()) {
      ChooseExempt();
      Pause(last);
      return;
    }
  }
  if (held_ <= marks_.pause / 4 * 3) {
    ResumeAll();
  } else {
    ChooseExempt();
  }
}

}  // namespace carawayhaven
