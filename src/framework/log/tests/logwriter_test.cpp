#include "framework/log/logwriter.h"

#include <catch2/catch.hpp>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace cranberryspool::framework;
using std::chrono::milliseconds;

namespace {

struct Pipe {
  std::array<int, 2> Descriptors_{};

  Pipe() { REQUIRE(::pipe(Descriptors_.data()) == 0); }
  ~Pipe() {
    for (const int Descriptor : Descriptors_)
      ::close(Descriptor);
  }

  int reader() const { return Descriptors_[0]; }
  int writer() const { return Descriptors_[1]; }

  /// Reads the data that is available, without blocking.
  std::string readAvailable() const {
    ::fcntl(reader(), F_SETFL, O_NONBLOCK);
    std::string Text;
    std::array<char, 4096> Bytes{};
    ssize_t Count = 0;
    while ((Count = ::read(reader(), Bytes.data(), Bytes.size())) > 0)
      Text.append(Bytes.data(), static_cast<std::size_t>(Count));
    return Text;
  }
};

LogLine makeLine(int Number,
                 LogImportance Importance = LogImportance::Significant) {
  LogLine Line("test", Importance);
  Line.number("number", Number);
  return Line;
}

} // namespace

TEST_CASE("a line is one JSON object with escaped strings", "[log]") {
  Pipe LogPipe;
  {
    LogWriter Writer(LogPipe.writer(), "entry-1");
    LogLine Line("ended", LogImportance::Significant);
    Line.text("id", "a\"b\\c\nd").millis("elapsed_ms", Duration(1234));
    Line.flag("whole", true).millis("late_ms", Duration(-5));
    Writer.write(Line);
  }
  const std::string Text = LogPipe.readAvailable();
  CHECK(Text.starts_with("{\"time\":\""));
  CHECK(Text.ends_with("\"instance\":\"entry-1\",\"event\":\"ended\","
                       "\"id\":\"a\\\"b\\\\c\\u000ad\",\"elapsed_ms\":1.234,"
                       "\"whole\":true,\"late_ms\":-0.005}\n"));
}

TEST_CASE("a full pipe does not block the caller and dropped lines are counted",
          "[log]") {
  Pipe LogPipe;
  ::fcntl(LogPipe.writer(), F_SETPIPE_SZ, 4096);
  {
    LogWriter Writer(LogPipe.writer(), "entry-1", 1 << 30);
    for (int Number = 0; Number < 20'000; ++Number)
      Writer.write(makeLine(Number));
    CHECK(Writer.dropped() > 10'000);
  }
  // The writing thread may still be blocked on the pipe. Closing the read end
  // unblocks it with SIGPIPE, which must not end the test process.
  std::signal(SIGPIPE, SIG_IGN);
}

TEST_CASE("lines are discarded after the reader has closed the pipe", "[log]") {
  std::signal(SIGPIPE, SIG_IGN);
  Pipe LogPipe;
  ::close(LogPipe.Descriptors_[0]);
  LogPipe.Descriptors_[0] = ::dup(LogPipe.writer());
  LogWriter Writer(LogPipe.writer(), "entry-1");
  for (int Number = 0; Number < 100; ++Number)
    Writer.write(makeLine(Number));
}

TEST_CASE("lines are discarded when the descriptor is invalid", "[log]") {
  LogWriter Writer(-1, "entry-1");
  for (int Number = 0; Number < 100; ++Number)
    Writer.write(makeLine(Number));
}

TEST_CASE("routine lines leave half of the budget to significant ones",
          "[log]") {
  Pipe LogPipe;
  ::fcntl(LogPipe.writer(), F_SETPIPE_SZ, 1 << 20);
  std::string Text;
  {
    LogWriter Writer(LogPipe.writer(), "entry-1", 4'000);
    for (int Number = 0; Number < 500; ++Number)
      Writer.write(makeLine(Number, LogImportance::Routine));
    for (int Number = 1'000; Number < 1'010; ++Number)
      Writer.write(makeLine(Number));
    CHECK(Writer.dropped() > 0);
  }
  Text = LogPipe.readAvailable();
  CHECK(Text.find("\"number\":1000}") != std::string::npos);
  CHECK(Text.find("\"number\":1009}") != std::string::npos);
}
