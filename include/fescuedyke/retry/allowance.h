#ifndef FESCUEDYKE_RETRY_ALLOWANCE_H
#define FESCUEDYKE_RETRY_ALLOWANCE_H

/// \file
/// The retries of a root request, which are lent down its call tree and returned with the replies.

namespace fescuedyke {

/// The part of a root's retries that a node holds for one call. The retries held and spent in a
/// call tree never exceed in sum what its root was granted.
class retry_allowance {
public:
    explicit retry_allowance(int retries) : left_(retries > 0 ? retries : 0) {}

    int left() const { return left_; }

    /// Consumes one retry. Returns whether one was left.
    bool spend();

    /// Removes and returns the share that is lent to an attempt with \p hops_below expected hops
    /// below it. All hops get about the same share; the last hop gets none, because it has nothing
    /// to retry.
    int lend(int hops_below);

    /// Adds the \p unused retries of an attempt that was lent \p lent. The number comes from a
    /// reply and is clamped to what was lent.
    void return_unused(int unused, int lent);

private:
    int left_;
};

} // namespace fescuedyke

#endif
