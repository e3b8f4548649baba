#ifndef BERGAMOT_SIDECAR_FANOUTSUBTREE_H
#define BERGAMOT_SIDECAR_FANOUTSUBTREE_H

#include "adaptertcp/httpcaller.h"
#include "sidecar/batch.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamot::sidecar {

/// Some members of a group that a coordinator calls by way of one of them, its
/// head. Calls that are made in one turn of the loop go out as one batch; a
/// single one goes to its member itself. If the head doesn't answer, the next
/// member becomes the head.
class Branch : public std::enable_shared_from_this<Branch> {
public:
  using Completion = adaptertcp::HttpCaller::Completion;

  /// `port` is that of all sidecars.
  Branch(boost::asio::io_context &loop, std::uint16_t port,
         std::vector<std::string> members);
  /// Ends the newest call of each kind without completion.
  ~Branch();
  Branch(const Branch &) = delete;
  Branch &operator=(const Branch &) = delete;

  /// Makes a call to a member's sidecar. The completion runs once unless the
  /// branch is destroyed before.
  void call(const std::string &member, const std::string &target,
            const std::string &body, base::TimePoint deadline,
            Completion completion);

  boost::asio::io_context &loop() { return Loop; }

private:
  struct Waiting {
    std::string Member;
    std::string Body;
    base::TimePoint Deadline;
    Completion OnDone;
  };
  using Calls = std::vector<Waiting>;

  void send(const std::string &target, Calls calls);
  void sendBatch(const std::string &target, Calls calls);
  adaptertcp::HttpCaller &callerTo(const std::string &target,
                                   const std::string &member);

  boost::asio::io_context &Loop;
  std::uint16_t Port;
  std::vector<std::string> Members;
  std::size_t Head = 0;
  /// Calls of this turn of the loop, by target.
  std::map<std::string, Calls> Collected;
  std::map<std::string, std::shared_ptr<adaptertcp::HttpCaller>> Callers;
};

/// Returns how many members a branch of a group has: about the square root of
/// the group's size, so that coordinator and heads bear the same load; 1 for a
/// group so small that another hop costs more time than it saves.
std::size_t branchSize(std::size_t groupSize);

} // namespace bergamot::sidecar

#endif
