#include "proxy/bounded_output.h"

#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <ostream>
#include <string>

namespace carawayhaven {
namespace {

class BoundedOutputToAPipe : public ::testing::Test {
 protected:
  BoundedOutputToAPipe() {
    EXPECT_EQ(pipe(ends_.data()), 0);
    EXPECT_EQ(fcntl(ends_[0], F_SETFL, O_NONBLOCK), 0);
  }
  ~BoundedOutputToAPipe() override {
    close(ends_[0]);
    close(ends_[1]);
  }

  std::string ReadAll() const {
    std::string text;
    std::array<char, 4096> part{};
    ssize_t count = 0;
    while ((count = read(ends_[0], part.data(), part.size())) > 0) {
      text.append(part.data(), static_cast<std::size_t>(count));
    }
    return text;
  }

  std::array<int, 2> ends_{};
};

TEST_F(BoundedOutputToAPipe, LinesAreWrittenOnFlush) {
  BoundedOutput output(ends_[1]);
  std::ostream stream(&output);
  stream << "one\n" << std::flush << "two\n";
  EXPECT_EQ(ReadAll(), "");
  output.Flush();
  EXPECT_EQ(ReadAll(), "one\ntwo\n");
}

TEST_F(BoundedOutputToAPipe, PipeIsFullDropsAndCountsLinesWithoutBlocking) {
  BoundedOutput output(ends_[1]);
  std::ostream stream(&output);
  const std::string line(1000, 'x');
  for (int i = 0; i < 2000; ++i) {
    stream << line << '\n';
    output.Flush();
  }
  EXPECT_LE(output.pending(), BoundedOutput::kMaxBufferBytes);
  EXPECT_GT(output.dropped_lines(), 0U);
  EXPECT_FALSE(ReadAll().empty());
}

}  // namespace
}  // namespace carawayhaven
