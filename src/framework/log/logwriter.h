#ifndef CRANBERRYSPOOL_FRAMEWORK_LOG_LOGWRITER_H
#define CRANBERRYSPOOL_FRAMEWORK_LOG_LOGWRITER_H

#include "framework/log/logline.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace cranberryspool::framework {

/// Writes log lines to a file descriptor on a thread of its own. `write` never
/// waits for the reader of the descriptor: lines that exceed the byte budget or
/// the queue are dropped and counted, and the count is logged at most once a
/// second. Thread-safe.
class LogWriter {
public:
  /// The byte budget for one second; routine lines may use half of it.
  static constexpr std::size_t DefaultBytesPerSecond = 128 * 1024;

  /// `Instance` is written in each line. The writer does not close the
  /// descriptor.
  LogWriter(int Descriptor, std::string Instance,
            std::size_t BytesPerSecond = DefaultBytesPerSecond);
  /// Waits up to 200 ms for the last lines to be written.
  ~LogWriter();
  LogWriter(const LogWriter &) = delete;
  LogWriter &operator=(const LogWriter &) = delete;

  void write(const LogLine &Line);

  /// Returns the number of lines dropped since the writer was created.
  std::uint64_t dropped() const;

private:
  class Impl;
  /// Shared with the writing thread, which may outlive this object when it is
  /// blocked because the reader does not read.
  std::shared_ptr<Impl> Impl_;
};

} // namespace cranberryspool::framework

#endif // CRANBERRYSPOOL_FRAMEWORK_LOG_LOGWRITER_H
