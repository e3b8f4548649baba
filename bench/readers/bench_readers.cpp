#include "../benchoutput.h"
#include "libbergamotrouting/streambuffer.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

using namespace bergamot::bench;
using namespace bergamot::routing;

namespace {

constexpr std::size_t NormalCount = 200;
constexpr std::size_t StalledCount = 400;
constexpr std::size_t BudgetBytes = std::size_t{8} << 20;
constexpr std::size_t ChunkBytes = 1024;
constexpr std::int64_t ChunkMs = 10;
constexpr std::int64_t StallMs = 1000;
constexpr std::int64_t ResumeMs = 15000;
constexpr std::int64_t EndMs = 20000;
constexpr auto ParkAfter = std::chrono::milliseconds(200);

TimePoint time(std::int64_t ms) {
  return TimePoint(std::chrono::hours(1)) + std::chrono::milliseconds(ms);
}

// One response: an engine makes a chunk every ChunkMs and sends it when the
// window allows; the reader takes everything every other millisecond.
struct Stream {
  std::unique_ptr<StreamBuffer> Buffer;
  bool Stalls = false;
  std::uint64_t Sent = 0;
  std::uint64_t Window = 0;
  /// Bytes that the naive version holds for the reader.
  std::uint64_t NaiveHeld = 0;
};

struct ReadersResult {
  double P99Ms = 0;
  double StalledBytes = 0;
  double NaiveStalledBytes = 0;
  double UsedBytes = 0;
  double Parked = 0;
};

class ReadersModel {
public:
  explicit ReadersModel(std::size_t stalledCount)
      : Budget(BudgetBytes, ParkAfter), Streams(NormalCount + stalledCount) {
    for (std::size_t i = 0; i < Streams.size(); ++i) {
      Streams[i].Stalls = i >= NormalCount;
      Streams[i].Buffer = std::make_unique<StreamBuffer>(StreamId{i + 1}, true,
                                                         Budget, time(0));
    }
  }

  ReadersResult run() {
    for (std::int64_t ms = 0; ms < EndMs; ++ms) {
      for (std::size_t i = 0; i < Streams.size(); ++i)
        step(Streams[i], static_cast<std::int64_t>(i), ms);
      while (const auto id = Budget.parkCandidate(time(ms))) {
        if (!Streams[id->Value - 1].Buffer->park())
          break;
        ++Result.Parked;
      }
      Result.UsedBytes =
          std::max(Result.UsedBytes, static_cast<double>(Budget.used()));
    }
    std::sort(Latencies.begin(), Latencies.end());
    Result.P99Ms = Latencies[Latencies.size() * 99 / 100];
    return Result;
  }

private:
  void step(Stream &stream, std::int64_t index, std::int64_t ms) {
    const bool stalled = stream.Stalls && ms >= StallMs && ms < ResumeMs;
    const auto made = static_cast<std::uint64_t>(
        (ms + index) / ChunkMs * static_cast<std::int64_t>(ChunkBytes));
    if (stream.Buffer->isParked() && !stalled)
      if (const auto offset = stream.Buffer->resume())
        stream.Sent = stream.Window = *offset;
    if (const auto end = stream.Buffer->extendWindow())
      stream.Window = *end;
    while (!stream.Buffer->isParked() &&
           stream.Sent + ChunkBytes <= std::min(made, stream.Window)) {
      stream.Buffer->addChunk(stream.Sent, Chunk,
                              chunkHash(0, stream.Sent, Chunk));
      stream.Sent += ChunkBytes;
    }
    const std::uint64_t before = stream.Buffer->deliveredTo();
    if (!stalled && ms % 2 == 0)
      stream.Buffer->take(ChunkBytes * 64, time(ms));
    if (!stream.Stalls)
      addLatencies(before, stream.Buffer->deliveredTo(), index, ms);
    if (!stalled)
      return;
    // The engine restarts a parked stream, so nothing else is held for it.
    Result.StalledBytes = std::max(
        Result.StalledBytes,
        static_cast<double>(stream.Buffer->buffered() + sizeof(StreamBuffer)));
    Result.NaiveStalledBytes =
        std::max(Result.NaiveStalledBytes,
                 static_cast<double>(made - stream.Buffer->deliveredTo()));
  }

  void addLatencies(std::uint64_t from, std::uint64_t to, std::int64_t index,
                    std::int64_t ms) {
    for (std::uint64_t at = from; at < to; at += ChunkBytes) {
      const auto madeMs =
          static_cast<std::int64_t>(at / ChunkBytes + 1) * ChunkMs - index;
      Latencies.push_back(
          static_cast<double>(ms - std::max<std::int64_t>(0, madeMs)));
    }
  }

  BufferBudget Budget;
  std::vector<Stream> Streams;
  std::string Chunk = std::string(ChunkBytes, 'x');
  std::vector<double> Latencies;
  ReadersResult Result;
};

} // namespace

int main() {
  const auto calm = ReadersModel(0).run();
  const auto stalled = ReadersModel(StalledCount).run();
  printResult("readers.stalled_bytes", stalled.StalledBytes, "bytes", 65536,
              stalled.NaiveStalledBytes);
  printResult("readers.others_p99", stalled.P99Ms, "ms", std::nullopt,
              std::nullopt);
  // Unbounded buffers never delay other readers, so there is nothing to
  // measure for the naive version; its cost is the memory.
  printResult("readers.others_p99_ratio",
              stalled.P99Ms / std::max(1.0, calm.P99Ms), "ratio", 1.1,
              std::nullopt);
  printResult("readers.budget_used", stalled.UsedBytes, "bytes",
              static_cast<double>(BudgetBytes),
              stalled.NaiveStalledBytes * StalledCount);
  printResult("readers.parked", stalled.Parked, "streams", std::nullopt,
              std::nullopt);
}
