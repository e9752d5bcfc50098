#ifndef FESCUEDYKE_CODEC_ARCHIVE_H
#define FESCUEDYKE_CODEC_ARCHIVE_H

#include "fescuedyke/support/strong.h"
#include "fescuedyke/support/time.h"

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <array>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

/// \file
/// Serialization of structs as MessagePack arrays. A serializable struct T has a function
/// `template <class A> void fields(A& archive, T& value)` that passes all its members to the
/// archive, and a serializable enumeration has a specialization of enum_size. Include only in
/// source files.

namespace fescuedyke {

/// Number of enumerators of E; decoders reject this value and greater ones.
template <class E> struct enum_size;

/// Serializes values.
class archive_writer {
public:
    archive_writer() : packer_(buffer_) {}

    /// Writes the members of a struct as one array.
    template <class... T> void operator()(T&... members)
    {
        packer_.pack_array(sizeof...(T));
        (put(members), ...);
    }

    template <class T> void put(const T& value)
    {
        if constexpr (std::is_enum_v<T>) {
            packer_.pack_uint64(static_cast<std::uint64_t>(value));
        }
        else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
            packer_.pack(value);
        }
        else {
            put_object(value);
        }
    }

    /// Has no effect: values are checked when they are read.
    void check(bool /*condition*/) {}

    std::string bytes() const { return {buffer_.data(), buffer_.size()}; }

private:
    template <class Tag, class T> void put_object(const strong<Tag, T>& value)
    {
        put(value.value());
    }
    void put_object(const millis& value) { put(value.count()); }
    template <class Tag> void put_object(const time_point<Tag>& value)
    {
        put(value.since_origin());
    }
    template <class T> void put_object(const std::vector<T>& items) { put_items(items); }
    template <class T, std::size_t N> void put_object(const std::array<T, N>& items)
    {
        put_items(items);
    }
    template <class K, class V> void put_object(const std::map<K, V>& items)
    {
        packer_.pack_map(static_cast<std::uint32_t>(items.size()));
        for (const auto& [key, value] : items) {
            put(key);
            put(value);
        }
    }
    template <class A, class B> void put_object(const std::pair<A, B>& value)
    {
        packer_.pack_array(2);
        put(value.first);
        put(value.second);
    }
    template <class T> void put_object(const std::optional<T>& value)
    {
        packer_.pack_array(value ? 1 : 0);
        if (value) {
            put(*value);
        }
    }
    void put_object(const std::shared_ptr<const std::string>& value)
    {
        put(value ? *value : std::string());
    }
    template <class... T> void put_object(const std::variant<T...>& value)
    {
        packer_.pack_array(2);
        packer_.pack_uint64(value.index());
        std::visit([this](const auto& v) { put(v); }, value);
    }
    template <class T> void put_object(const T& value) { fields(*this, const_cast<T&>(value)); }

    template <class C> void put_items(const C& items)
    {
        packer_.pack_array(static_cast<std::uint32_t>(items.size()));
        for (const auto& item : items) {
            put(item);
        }
    }

    msgpack::sbuffer buffer_;
    msgpack::packer<msgpack::sbuffer> packer_;
};

/// Deserializes values. After any mismatch of type, size or range, ok() returns false and the
/// values read are not usable.
class archive_reader {
public:
    explicit archive_reader(const msgpack::object& object) : object_(&object) {}

    bool ok() const { return ok_; }

    template <class... T> void operator()(T&... members)
    {
        const msgpack::object& array = *object_;
        if (array.type != msgpack::type::ARRAY || array.via.array.size != sizeof...(T)) {
            ok_ = false;
            return;
        }
        std::uint32_t i = 0;
        (get_at(array.via.array.ptr[i++], members), ...);
    }

    template <class T> void get(T& value)
    {
        if constexpr (std::is_same_v<T, bool>) {
            check(object_->type == msgpack::type::BOOLEAN);
            value = ok_ && object_->via.boolean;
        }
        else if constexpr (std::is_enum_v<T>) {
            std::uint64_t number = 0;
            get(number);
            check(number < enum_size<T>::value);
            value = ok_ ? static_cast<T>(number) : T{};
        }
        else if constexpr (std::is_integral_v<T>) {
            get_integer(value);
        }
        else if constexpr (std::is_same_v<T, std::string>) {
            check(object_->type == msgpack::type::STR);
            if (ok_) {
                value.assign(object_->via.str.ptr, object_->via.str.size);
            }
        }
        else {
            get_object(value);
        }
    }

    /// Makes the values unusable unless \p condition holds.
    void check(bool condition) { ok_ = ok_ && condition; }

private:
    template <class T> void get_at(const msgpack::object& object, T& value)
    {
        if (!ok_) {
            return;
        }
        const msgpack::object* outer = std::exchange(object_, &object);
        get(value);
        object_ = outer;
    }

    template <class T> void get_integer(T& value)
    {
        if (object_->type == msgpack::type::POSITIVE_INTEGER) {
            const std::uint64_t number = object_->via.u64;
            check(number <= static_cast<std::uint64_t>(std::numeric_limits<T>::max()));
            value = static_cast<T>(number);
            return;
        }
        check(std::is_signed_v<T> && object_->type == msgpack::type::NEGATIVE_INTEGER);
        const std::int64_t number = ok_ ? object_->via.i64 : 0;
        check(number >= static_cast<std::int64_t>(std::numeric_limits<T>::min()));
        value = static_cast<T>(number);
    }

    bool is_array(std::uint32_t size)
    {
        check(object_->type == msgpack::type::ARRAY && object_->via.array.size == size);
        return ok_;
    }

    template <class Tag, class T> void get_object(strong<Tag, T>& value)
    {
        T inner{};
        get(inner);
        value = strong<Tag, T>(std::move(inner));
    }
    void get_object(millis& value)
    {
        std::int64_t count = 0;
        get(count);
        value = millis(count);
    }
    template <class Tag> void get_object(time_point<Tag>& value)
    {
        std::int64_t since_origin = 0;
        get(since_origin);
        value = time_point<Tag>(since_origin);
    }
    template <class T> void get_object(std::vector<T>& items)
    {
        check(object_->type == msgpack::type::ARRAY);
        if (!ok_) {
            return;
        }
        const msgpack::object_array array = object_->via.array;
        for (std::uint32_t i = 0; ok_ && i < array.size; ++i) {
            items.emplace_back();
            get_at(array.ptr[i], items.back());
        }
    }
    template <class T, std::size_t N> void get_object(std::array<T, N>& items)
    {
        if (!is_array(N)) {
            return;
        }
        const msgpack::object_array array = object_->via.array;
        for (std::uint32_t i = 0; i < N; ++i) {
            get_at(array.ptr[i], items[i]);
        }
    }
    template <class K, class V> void get_object(std::map<K, V>& items)
    {
        check(object_->type == msgpack::type::MAP);
        if (!ok_) {
            return;
        }
        const msgpack::object_map map = object_->via.map;
        for (std::uint32_t i = 0; ok_ && i < map.size; ++i) {
            K key{};
            get_at(map.ptr[i].key, key);
            get_at(map.ptr[i].val, items[key]);
        }
    }
    template <class A, class B> void get_object(std::pair<A, B>& value)
    {
        if (is_array(2)) {
            const msgpack::object_array array = object_->via.array;
            get_at(array.ptr[0], value.first);
            get_at(array.ptr[1], value.second);
        }
    }
    template <class T> void get_object(std::optional<T>& value)
    {
        check(object_->type == msgpack::type::ARRAY && object_->via.array.size <= 1);
        if (ok_ && object_->via.array.size == 1) {
            get_at(object_->via.array.ptr[0], value.emplace());
        }
    }
    void get_object(std::shared_ptr<const std::string>& value)
    {
        std::string text;
        get(text);
        value = std::make_shared<const std::string>(std::move(text));
    }
    template <class... T> void get_object(std::variant<T...>& value)
    {
        if (!is_array(2)) {
            return;
        }
        const msgpack::object_array array = object_->via.array;
        std::uint64_t index = 0;
        get_at(array.ptr[0], index);
        check(index < sizeof...(T));
        std::uint64_t candidate = 0;
        ((candidate++ == index && ok_ ? get_at(array.ptr[1], value.template emplace<T>()) : void()),
         ...);
    }
    template <class T> void get_object(T& value) { fields(*this, value); }

    const msgpack::object* object_;
    bool ok_ = true;
};

/// Returns the serialized form of \p value.
template <class T> std::string encode(const T& value)
{
    archive_writer writer;
    writer.put(value);
    return writer.bytes();
}

/// Deserializes the output of encode(). Fails with kInvalidArgument on anything else;
/// \p message_kind names the kind of message in the error.
template <class T>
absl::StatusOr<T> decode(const char* data, std::size_t size, const char* message_kind)
{
    const auto malformed = [message_kind] {
        return absl::InvalidArgumentError(std::string(message_kind) + ": malformed message");
    };
    constexpr std::size_t max_items = 1U << 22U;
    constexpr std::size_t max_depth = 32;
    // The limits are for arrays, maps, strings, binary values, extension values and nesting. Binary
    // and extension values are never written.
    const msgpack::unpack_limit limit(max_items, max_items, 0x7fffffff, 0, 0, max_depth);
    try {
        std::size_t used = 0;
        const msgpack::object_handle handle =
            msgpack::unpack(data, size, used, nullptr, nullptr, limit);
        T value{};
        archive_reader reader(handle.get());
        reader.get(value);
        if (!reader.ok() || used != size) {
            return malformed();
        }
        return value;
    }
    catch (const std::exception&) {
        return malformed();
    }
}

template <class T> absl::StatusOr<T> decode(const std::string& bytes, const char* message_kind)
{
    return decode<T>(bytes.data(), bytes.size(), message_kind);
}

} // namespace fescuedyke

#endif
