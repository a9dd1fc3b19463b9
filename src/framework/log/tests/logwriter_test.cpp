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
  std::array<int, 2> Ends_{};

  Pipe() { REQUIRE(::pipe(Ends_.data()) == 0); }
  ~Pipe() {
    for (const int End : Ends_)
      ::close(End);
  }

  int reader() const { return Ends_[0]; }
  int writer() const { return Ends_[1]; }

  /// Reads what is there without waiting.
  std::string takeAll() const {
    ::fcntl(reader(), F_SETFL, O_NONBLOCK);
    std::string All;
    std::array<char, 4096> Bytes{};
    ssize_t Count = 0;
    while ((Count = ::read(reader(), Bytes.data(), Bytes.size())) > 0)
      All.append(Bytes.data(), static_cast<std::size_t>(Count));
    return All;
  }
};

LogLine makeLine(int Number,
                 LogImportance Importance = LogImportance::Significant) {
  LogLine Line("test", Importance);
  Line.number("number", Number);
  return Line;
}

} // namespace

TEST_CASE("a line is one JSON object with escaped texts", "[log]") {
  Pipe Out;
  {
    LogWriter Writer(Out.writer(), "entry-1");
    LogLine Line("ended", LogImportance::Significant);
    Line.text("id", "a\"b\\c\nd").millis("elapsed_ms", Duration(1234));
    Line.flag("whole", true).millis("late_ms", Duration(-5));
    Writer.write(Line);
  }
  const std::string Text = Out.takeAll();
  CHECK(Text.starts_with("{\"time\":\""));
  CHECK(Text.ends_with("\"instance\":\"entry-1\",\"event\":\"ended\","
                       "\"id\":\"a\\\"b\\\\c\\u000ad\",\"elapsed_ms\":1.234,"
                       "\"whole\":true,\"late_ms\":-0.005}\n"));
}

TEST_CASE("a full pipe holds up nobody and its loss is counted", "[log]") {
  Pipe Out;
  ::fcntl(Out.writer(), F_SETPIPE_SZ, 4096);
  {
    LogWriter Writer(Out.writer(), "entry-1", 1 << 30);
    for (int Number = 0; Number < 20'000; ++Number)
      Writer.write(makeLine(Number));
    CHECK(Writer.dropped() > 10'000);
  }
  // The thread may still hang on the pipe; closing the reader frees it.
  std::signal(SIGPIPE, SIG_IGN);
}

TEST_CASE("a reader that has gone away does no harm", "[log]") {
  std::signal(SIGPIPE, SIG_IGN);
  Pipe Out;
  ::close(Out.Ends_[0]);
  Out.Ends_[0] = ::dup(Out.writer());
  LogWriter Writer(Out.writer(), "entry-1");
  for (int Number = 0; Number < 100; ++Number)
    Writer.write(makeLine(Number));
}

TEST_CASE("a closed descriptor does no harm", "[log]") {
  LogWriter Writer(-1, "entry-1");
  for (int Number = 0; Number < 100; ++Number)
    Writer.write(makeLine(Number));
}

TEST_CASE("routine lines leave half of the budget to telling ones", "[log]") {
  Pipe Out;
  ::fcntl(Out.writer(), F_SETPIPE_SZ, 1 << 20);
  std::string Text;
  {
    LogWriter Writer(Out.writer(), "entry-1", 4'000);
    for (int Number = 0; Number < 500; ++Number)
      Writer.write(makeLine(Number, LogImportance::Routine));
    for (int Number = 1'000; Number < 1'010; ++Number)
      Writer.write(makeLine(Number));
    CHECK(Writer.dropped() > 0);
  }
  Text = Out.takeAll();
  CHECK(Text.find("\"number\":1000}") != std::string::npos);
  CHECK(Text.find("\"number\":1009}") != std::string::npos);
}
