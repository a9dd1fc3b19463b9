#include "framework/log/logwriter.h"

#include "framework/boundedqueue.h"

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

constexpr std::size_t MaxQueuedLines = 2048;
/// Lines are collected for this long and written together, to save wake-ups.
constexpr std::chrono::milliseconds FlushInterval{100};
/// The destructor waits this long at most for the remaining lines to be
/// written.
constexpr std::chrono::milliseconds ShutdownTimeout{200};

/// Returns the current time in UTC with milliseconds in the format of RFC 3339.
std::string currentTimestamp() {
  const auto Now = std::chrono::system_clock::now();
  const auto Millis = std::chrono::duration_cast<std::chrono::milliseconds>(
                          Now.time_since_epoch())
                          .count();
  const std::time_t Seconds = static_cast<std::time_t>(Millis / 1000);
  std::tm UtcTime{};
  gmtime_r(&Seconds, &UtcTime);
  char Text[40];
  const std::size_t Length =
      std::strftime(Text, sizeof(Text), "%Y-%m-%dT%H:%M:%S", &UtcTime);
  std::snprintf(Text + Length, sizeof(Text) - Length, ".%03dZ",
                static_cast<int>(Millis % 1000));
  return Text;
}

} // namespace

class LogWriter::Impl {
public:
  Impl(int Descriptor, std::string Instance, std::size_t BytesPerSecond)
      : Descriptor_(Descriptor), Instance_(std::move(Instance)),
        BytesPerSecond_(BytesPerSecond), Queue_(MaxQueuedLines) {}

  void enqueue(const LogLine &Line) {
    if (!tryConsumeBudget(Line)) {
      ++DroppedLines_;
      return;
    }
    std::string Text = formatLine(Line);
    if (!Queue_.tryPush(Text))
      ++DroppedLines_;
  }

  void run() {
    while (!IsStopRequested_.load()) {
      {
        std::unique_lock Guard(Lock_);
        StopCondition_.wait_for(Guard, FlushInterval,
                                [&] { return IsStopRequested_.load(); });
      }
      reportDropped();
      drain();
    }
    drain();
    IsFinished_.store(true);
  }

  void requestStop() {
    IsStopRequested_.store(true);
    StopCondition_.notify_all();
  }

  bool isFinished() const { return IsFinished_.load(); }
  std::uint64_t dropped() const { return DroppedLines_.load(); }

private:
  static std::int64_t currentSecond() {
    return std::chrono::duration_cast<std::chrono::seconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
  }

  /// Charges the line to the budget of the current second; returns false when
  /// the budget is used up. Threads that race when a second begins may together
  /// exceed the budget by a few bytes.
  bool tryConsumeBudget(const LogLine &Line) {
    const std::int64_t Second = currentSecond();
    if (BudgetSecond_.exchange(Second) != Second)
      UsedBytes_.store(0);
    const std::size_t Limit = Line.importance() == LogImportance::Routine
                                  ? BytesPerSecond_ / 2
                                  : BytesPerSecond_;
    const std::size_t Size = Line.members().size();
    if (UsedBytes_.load() + Size > Limit)
      return false;
    UsedBytes_ += Size;
    return true;
  }

  std::string formatLine(const LogLine &Line) const {
    return "{\"time\":\"" + currentTimestamp() + "\",\"instance\":\"" +
           Instance_ + "\"," + Line.members() + "}\n";
  }

  void reportDropped() {
    const std::uint64_t Dropped = DroppedLines_.load();
    const std::int64_t Second = currentSecond();
    if (Dropped == ReportedDropped_ || Second == LastReportSecond_)
      return;
    LogLine Line("log-dropped", LogImportance::Significant);
    Line.number("lines", static_cast<std::int64_t>(Dropped - ReportedDropped_));
    ReportedDropped_ = Dropped;
    LastReportSecond_ = Second;
    writeAll(formatLine(Line));
  }

  void drain() {
    std::string Batch;
    while (auto Line = Queue_.tryPop())
      Batch += *Line;
    writeAll(Batch);
  }

  /// Writes all bytes and blocks while the descriptor does; only the writing
  /// thread calls it. On a write error the rest is discarded and counted as one
  /// dropped line.
  void writeAll(std::string_view Bytes) {
    while (!Bytes.empty()) {
      const ssize_t Written = ::write(Descriptor_, Bytes.data(), Bytes.size());
      if (Written < 0 && errno == EINTR)
        continue;
      if (Written <= 0) {
        ++DroppedLines_;
        return;
      }
      Bytes.remove_prefix(static_cast<std::size_t>(Written));
    }
  }

  const int Descriptor_;
  const std::string Instance_;
  const std::size_t BytesPerSecond_;
  BoundedQueue<std::string> Queue_;
  std::atomic<std::int64_t> BudgetSecond_{0};
  std::atomic<std::size_t> UsedBytes_{0};
  std::atomic<std::uint64_t> DroppedLines_{0};
  std::atomic<bool> IsStopRequested_{false};
  std::atomic<bool> IsFinished_{false};
  std::mutex Lock_;
  std::condition_variable StopCondition_;
  /// Used by the writing thread only.
  std::uint64_t ReportedDropped_ = 0;
  std::int64_t LastReportSecond_ = 0;
};

LogWriter::LogWriter(int Descriptor, std::string Instance,
                     std::size_t BytesPerSecond)
    : Impl_(std::make_shared<Impl>(Descriptor, std::move(Instance),
                                   BytesPerSecond)) {
  std::thread([SharedImpl = Impl_] { SharedImpl->run(); }).detach();
}

LogWriter::~LogWriter() {
  Impl_->requestStop();
  constexpr std::chrono::milliseconds PollInterval{5};
  for (std::chrono::milliseconds Elapsed{};
       !Impl_->isFinished() && Elapsed < ShutdownTimeout;
       Elapsed += PollInterval)
    std::this_thread::sleep_for(PollInterval);
}

void LogWriter::write(const LogLine &Line) { Impl_->enqueue(Line); }

std::uint64_t LogWriter::dropped() const { return Impl_->dropped(); }

} // namespace cranberryspool::framework
