#ifndef CARAWAYHAVEN_CORE_CONFIG_CONFIG_DIGEST_SOURCE_H_
#define CARAWAYHAVEN_CORE_CONFIG_CONFIG_DIGEST_SOURCE_H_

namespace carawayhaven {

struct ConfigDigest;

/// Provides the configuration digest for heartbeats. Not thread-safe.
class ConfigDigestSource {
 public:
  virtual ~ConfigDigestSource() = default;

  virtual const ConfigDigest& digest() const = 0;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CORE_CONFIG_CONFIG_DIGEST_SOURCE_H_
