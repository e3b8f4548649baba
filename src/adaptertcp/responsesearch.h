#ifndef BERGAMOT_ADAPTERTCP_RESPONSESEARCH_H
#define BERGAMOT_ADAPTERTCP_RESPONSESEARCH_H

#include <cstddef>
#include <optional>
#include <string_view>

namespace bergamot::adaptertcp {

/// Whether the bytes that are searched may end within a head.
enum class HeadExtent { Whole, MaybeCut };

/// Returns where the head of a response begins within the bytes of a body, if
/// there is one. A body that ends with its connection may be followed by a
/// further response, which nothing but its head tells from the body.
std::optional<std::size_t> findResponseHead(std::string_view bytes,
                                            HeadExtent extent);

} // namespace bergamot::adaptertcp

#endif
