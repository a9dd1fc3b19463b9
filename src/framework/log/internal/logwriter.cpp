#include "framework/log/logwriter.h"

#include "framework/boundedring.h"

#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <ctime>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <utility>

namespace cranberryspool::framework {

namespace {

constexpr std::size_t RingLines = 2048;
/// Lines are collected for so long, so that writing costs few wake-ups.
constexpr std::chrono::milliseconds CollectTime{100};
/// At the end the reader gets this long to take what is left.
constexpr std::chrono::milliseconds LastTime{200};

/// UTC with milliseconds, as RFC 3339 has it.
std::string timeText() {
  const auto Now = std::chrono::system_clock::now();
  const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Now.time_since_epoch())
                          .count();
  const std::time_t Seconds = static_cast<std::time_t>(Millis / 1000);
  std::tm Parts{};
  gmtime_r(&Seconds, &Parts);
  char Text[40];
  const std::size_t Length =
      std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%S", &Parts);
  std::snprintf(Text + Length, sizeof(Text) - Length, ".%03dZ",
                static_cast<int>(Millis % 1000));
  return Text;
}

} // namespace

class LogWriter::Channel {
public:
  Channel(int Descriptor, std::string Instance, std::size_t BytesPerSecond)
      : Descriptor_(Descriptor), Instance_(std::move(Instance)),
        BytesPerSecond_(BytesPerSecond), Ring_(RingLines) {}

  void push(const LogLine &Line) {
    if (!takeBudget(Line)) {
      ++Dropped_;
      return;
    }
    std::string Text = finish(Line);
    if (!Ring_.tryPush(Text))
      ++Dropped_;
  }

  void run() {
    while (!IsEnding_.load()) {
      {
        std::unique_lock Guard(Lock_);
        Wake_.wait_for(Guard, CollectTime, [&] { return IsEnding_.load(); });
      }
      tellDropped();
      drain();
    }
    drain();
    IsDone_.store(true);
  }

  void end() {
    IsEnding_.store(true);
    Wake_.notify_all();
  }

  bool isDone() const { return IsDone_.load(); }
  std::uint64_t dropped() const { return Dropped_.load(); }

private:
  static std::int64_t secondNow() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }

  /// Races over the turn of a second may let a few bytes more pass.
  bool takeBudget(const LogLine &Line) {
    const std::int64_t Second = secondNow();
    if (Second_.exchange(Second) != Second)
      Used_.store(0);
    const std::size_t Limit = Line.importance() == LogImportance::Routine
                                  ? BytesPerSecond_ / 2
                                  : BytesPerSecond_;
    const std::size_t Size = Line.members().size();
    if (Used_.load() + Size > Limit)
      return false;
    Used_ += Size;
    return true;
  }

  std::string finish(const LogLine &Line) const {
    return "{\"time\":\"" + timeText() + "\",\"instance\":\"" + Instance_ +
           "\"," + Line.members() + "}\n";
  }

  void tellDropped() {
    const std::uint64_t Dropped = Dropped_.load();
    const std::int64_t Second = secondNow();
    if (Dropped == ToldDropped_ || Second == ToldAt_)
      return;
    LogLine Line("log-dropped", LogImportance::Significant);
    Line.number("lines", static_cast<std::int64_t>(Dropped - ToldDropped_));
    ToldDropped_ = Dropped;
    ToldAt_ = Second;
    writeAll(finish(Line));
  }

  void drain() {
    std::string Batch;
    while (auto Line = Ring_.tryPop())
      Batch += *Line;
    writeAll(Batch);
  }

  /// Waits for the reader; only this thread does. A descriptor that takes
  /// nothing more loses the lines, which are counted.
  void writeAll(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const ssize_t Written = ::write(Descriptor_, Bytes.data(), Bytes.size());
      if (Written < 0 && errno == EINTR)
        continue;
      if (Written <= 0) {
        ++Dropped_;
        return;
      }
      Bytes.remove_prefix(static_cast<std::size_t>(Written));
    }
  }

  const int Descriptor_;
  const std::string Instance_;
  const std::size_t BytesPerSecond_;
  BoundedRing<std::string> Ring_;
  std::atomic<std::int64_t> Second_{0};
  std::atomic<std::size_t> Used_{0};
  std::atomic<std::uint64_t> Dropped_{0};
  std::atomic<bool> IsEnding_{false};
  std::atomic<bool> IsDone_{false};
  std::mutex Lock_;
  std::condition_variable Wake_;
  /// Of the writing thread.
  std::uint64_t ToldDropped_ = 0;
  std::int64_t ToldAt_ = 0;
};

LogWriter::LogWriter(int Descriptor, std::string Instance,
                     std::size_t BytesPerSecond)
    : Channel_(std::make_shared<Channel>(Descriptor, std::move(Instance),
                                         BytesPerSecond)) {
  std::thread([Own = Channel_] { Own->run(); }).detach();
}

LogWriter::~LogWriter() {
  Channel_->end();
  constexpr std::chrono::milliseconds Step{5};
  for (std::chrono::milliseconds Waited{};
       !Channel_->isDone() && Waited < LastTime; Waited += Step)
    std::this_thread::sleep_for(Step);
}

void LogWriter::write(const LogLine &Line) { Channel_->push(Line); }

std::uint64_t LogWriter::dropped() const { return Channel_->dropped(); }

} // namespace cranberryspool::framework
