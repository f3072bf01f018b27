#include "proxy/vm_list_reader.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "carawayhaven/exceptions.h"
#include "wire/json_fields.h"

namespace carawayhaven {
namespace {

constexpr char kVmPrefix[] = "vms/";

}  // namespace

VmListReader::VmListReader(PlatformStore& store, ListCallback on_list)
    : store_(store),
      on_list_(std::move(on_list)),
      alive_(std::make_shared<VmListReader*>(this)) {}

void VmListReader::Tick(TimePoint now) {
  if (reading_ || now < next_read_) return;
  reading_ = true;
  next_read_ = now + (seen_ ? kReadInterval : kRetryInterval);
  // A watch from revision zero answers at once when there is any VM.
  store_.Watch(kVmPrefix, 0,
               [alive = std::weak_ptr(alive_)](const StoreReply& reply) {
                 if (const auto self = alive.lock()) (*self)->OnReply(reply);
               });
}

// An entry that cannot be read is passed over; the others are still of use.
void VmListReader::OnReply(const StoreReply& reply) {
  reading_ = false;
  if (reply.status != StoreStatus::kOk) return;
  std::vector<ListedVm> vms;
  for (const StoredObject& object : reply.objects) {
    try {
      const nlohmann::json entry = ParseJsonObject(object.value);
      vms.push_back({RequiredString(entry, "vm"),
                     RequiredString(entry, "data_centre"),
                     RequiredString(entry, "address"),
                     OptionalBool(entry, "leaving", false)});
    } catch (const DecodeError&) {
      continue;
    }
  }
  seen_ = seen_ || !vms.empty();
  on_list_(vms);
}

}  // namespace carawayhaven
