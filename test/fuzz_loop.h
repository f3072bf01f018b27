#ifndef CARAWAYHAVEN_TEST_FUZZ_LOOP_H_
#define CARAWAYHAVEN_TEST_FUZZ_LOOP_H_

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

namespace carawayhaven {

/// Returns the contents of the files in a corpus folder, ordered by file name.
/// Throws std::runtime_error when the folder contains no file.
inline std::vector<std::string> ReadCorpus(const std::string& folder) {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry : std::filesystem::directory_iterator(folder)) {
    paths.push_back(entry.path());
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> seeds;
  for (const auto& path : paths) {
    std::ifstream file(path, std::ios::binary);
    seeds.emplace_back(std::istreambuf_iterator<char>(file),
                       std::istreambuf_iterator<char>());
  }
  if (seeds.empty()) throw std::runtime_error("no corpus in " + folder);
  return seeds;
}

/// Returns a fuzz input: a copy of a seed with one to eight random edits, which
/// change, insert or remove bytes, or insert parts of the same or another seed.
inline std::string MakeFuzzInput(const std::vector<std::string>& seeds,
                                 std::mt19937_64& random) {
  const auto below = [&random](std::size_t bound) {
    return static_cast<std::size_t>(random() % bound);
  };
  std::string text = seeds[below(seeds.size())];
  const std::size_t mutations = 1 + below(8);
  for (std::size_t i = 0; i < mutations; ++i) {
    const std::size_t at = below(text.size() + 1);
    switch (below(6)) {
      case 0:
        if (at < text.size()) text[at] = static_cast<char>(random());
        break;
      case 1:
        if (at < text.size()) {
          text[at] = static_cast<char>(text[at] ^ (1 << below(8)));
        }
        break;
      case 2:
        text.insert(at, 1, static_cast<char>(random()));
        break;
      case 3:
        text.erase(at, 1 + below(16));
        break;
      case 4:
        text.insert(at, text.substr(at, 1 + below(64)));
        break;
      default: {
        const std::string& other = seeds[below(seeds.size())];
        text.insert(at, other.substr(below(other.size() + 1), below(64)));
        break;
      }
    }
  }
  return text;
}

/// Calls `check` with every corpus seed and then with `iterations` fuzz inputs.
/// The same random seed gives the same inputs.
template <typename Check>
void RunFuzzLoop(const std::string& folder, int iterations,
                 std::mt19937_64::result_type random_seed, Check check) {
  const std::vector<std::string> seeds = ReadCorpus(folder);
  std::mt19937_64 random(random_seed);
  for (const std::string& seed : seeds) check(seed);
  for (int i = 0; i < iterations; ++i) check(MakeFuzzInput(seeds, random));
}

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_TEST_FUZZ_LOOP_H_
