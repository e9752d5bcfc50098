#ifndef FESCUEDYKE_SUPPORT_STRONG_H
#define FESCUEDYKE_SUPPORT_STRONG_H

#include <functional>
#include <utility>

/// \file
/// Strong types for identifiers and units.

namespace fescuedyke {

/// Wraps a value in a distinct type, so that values of different meaning cannot be confused.
template <class Tag, class T> class strong {
public:
    strong() = default;
    explicit strong(T value) : value_(std::move(value)) {}

    const T& value() const { return value_; }

    friend bool operator==(const strong& a, const strong& b) { return a.value_ == b.value_; }
    friend bool operator!=(const strong& a, const strong& b) { return a.value_ != b.value_; }
    friend bool operator<(const strong& a, const strong& b) { return a.value_ < b.value_; }
    friend bool operator<=(const strong& a, const strong& b) { return !(b < a); }
    friend bool operator>(const strong& a, const strong& b) { return b < a; }
    friend bool operator>=(const strong& a, const strong& b) { return !(a < b); }

private:
    T value_{};
};

} // namespace fescuedyke

template <class Tag, class T> struct std::hash<fescuedyke::strong<Tag, T>> {
    std::size_t operator()(const fescuedyke::strong<Tag, T>& s) const
    {
        return std::hash<T>{}(s.value());
    }
};

#endif
