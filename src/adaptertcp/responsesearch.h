#ifndef BERGAMOT_ADAPTERTCP_RESPONSESEARCH_H
#define BERGAMOT_ADAPTERTCP_RESPONSESEARCH_H

#include "adaptertcp/httpmessage.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

namespace bergamot::adaptertcp {

/// Whether the bytes that are searched may end within a head.
enum class HeadExtent { Whole, MaybeCut };

/// Returns where the head of a response begins within the bytes of a body, if
/// there is one. A body that ends with its connection may be followed by a
/// further response, which nothing but its head tells from the body. The head
/// of a target in trouble needn't be one that HTTP allows: any status and, in
/// names, blanks and control characters count.
std::optional<std::size_t> findResponseHead(std::string_view bytes,
                                            HeadExtent extent);

/// What a search for the head of a target's response has found.
struct TargetHeadSearch {
  /// Where the head begins; unset if there is none.
  std::optional<std::size_t> HeadAt;
  /// How many of the searched bytes come before the head, or before what may be
  /// the beginning of one. They needn't be searched again.
  std::size_t DecidedBytes = 0;
};

using HeadCheck = std::function<bool(const ResponseHead &)>;

/// Searches the bytes of a framed body for the head of a target's response. A
/// body may quote the heads of others, so `isOfTarget` is asked, with the
/// status and the fields of the head whose names HTTP allows. With
/// HeadExtent::MaybeCut, the fields up to the end of the bytes are enough. The
/// work grows with the number of bytes alone.
TargetHeadSearch findTargetHead(std::string_view bytes, HeadExtent extent,
                                const HeadCheck &isOfTarget);

/// Returns whether bytes begin with a status line, or with the beginning of
/// one.
bool startsWithStatusLine(std::string_view bytes);

} // namespace bergamot::adaptertcp

#endif
