#ifndef BERGAMOT_TESTS_PLATFORM_FAKELOG_H
#define BERGAMOT_TESTS_PLATFORM_FAKELOG_H

#include "entrypath/compactedtopic.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace bergamot::platform {

/// A topic whose records the test sets.
class FakeLog final : public entrypath::CompactedTopic {
public:
  struct Topic {
    std::vector<entrypath::TopicRecord> Records;
    bool Reachable = true;
    bool Compacted = false;
    /// The era that the store states; 0 for none.
    std::uint64_t Era = 0;
    int Reads = 0;
    /// Calls get no response, as on a connection on which nothing arrives.
    bool Silent = false;
    /// There is a connection, over which the next call goes.
    bool ConnectionOpen = false;
    /// That connection is silent: a call over it fails at its deadline, and
    /// closes it.
    bool ConnectionSilent = false;

    void silenceConnection() { ConnectionSilent = ConnectionOpen; }
  };

  FakeLog(boost::asio::io_context &loop, Topic &topic)
      : Loop(loop), Source(topic) {}

  void readNewest(const std::string &afterKey, base::TimePoint deadline,
                  Completion completion) override {
    ++Source.Reads;
    entrypath::ReadResult page = emptyPage();
    std::map<std::string, entrypath::TopicRecord> byKey;
    for (const auto &it : Source.Records)
      byKey[it.Key] = it;
    for (const auto &[key, it] : byKey)
      if (it.Value && key > afterKey)
        page.Records.push_back(it);
    answer(std::move(page), deadline, std::move(completion));
  }
  void read(std::uint64_t from, base::TimePoint, base::TimePoint deadline,
            Completion completion) override {
    ++Source.Reads;
    entrypath::ReadResult page = emptyPage();
    if (Source.Compacted && Source.Reachable)
      page.Status = entrypath::ReadResult::ReadStatus::Compacted;
    if (from > page.TopicEnd && Source.Reachable)
      page.Status = entrypath::ReadResult::ReadStatus::Compacted;
    for (const auto &it : Source.Records)
      if (it.Position.Offset >= from)
        page.Records.push_back(it);
    answer(std::move(page), deadline, std::move(completion));
  }

  void cancel() override { ++CancelCount; }

private:
  entrypath::ReadResult emptyPage() const {
    entrypath::ReadResult page;
    page.Status = Source.Reachable
                      ? entrypath::ReadResult::ReadStatus::Read
                      : entrypath::ReadResult::ReadStatus::Unavailable;
    page.TopicEnd =
        Source.Records.empty() ? 0 : Source.Records.back().Position.Offset + 1;
    page.Era = Source.Era;
    return page;
  }
  void answer(entrypath::ReadResult page, base::TimePoint deadline,
              Completion completion) {
    if (page.Status != entrypath::ReadResult::ReadStatus::Read)
      page.Records.clear();
    if (Source.Silent)
      return;
    Source.ConnectionOpen = true;
    if (Source.ConnectionSilent) {
      auto timer = std::make_shared<boost::asio::steady_timer>(Loop, deadline);
      timer->async_wait([this, timer, cancelCount = CancelCount,
                         done = std::move(completion)](const auto &ec) {
        if (ec || cancelCount != CancelCount)
          return;
        Source.ConnectionOpen = false;
        Source.ConnectionSilent = false;
        done({});
      });
      return;
    }
    boost::asio::post(Loop, [this, page, cancelCount = CancelCount,
                             done = std::move(completion)] {
      if (cancelCount == CancelCount)
        done(page);
    });
  }

  boost::asio::io_context &Loop;
  Topic &Source;
  std::uint64_t CancelCount = 0;
};

} // namespace bergamot::platform

#endif
