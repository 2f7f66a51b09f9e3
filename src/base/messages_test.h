/*
 * Packed messages of a given type, from a seeded generator: each field may be
 * missing, nested messages may be empty, and numbers and texts are often ones
 * that the receiver knows.
 */
#ifndef JR_BASE_MESSAGES_TEST_H
#define JR_BASE_MESSAGES_TEST_H

#include <cstring>
#include <map>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include <protobuf-c/protobuf-c.h>
}

class MessageMaker {
  public:
    using Descriptor = ProtobufCMessageDescriptor;

    explicit MessageMaker(uint32_t seed) : rng_(seed)
    {
    }

    /* Fields of bytes with this name contain packed messages of a type. */
    void
    Nest(const std::string &field, const Descriptor *type)
    {
        nested_[field] = type;
    }

    /* One of them is used for most of the texts. */
    void
    SetTexts(std::vector<std::string> texts)
    {
        texts_ = std::move(texts);
    }

    std::string
    Make(const Descriptor *type, int depth = 0)
    {
        std::string packed;

        for (unsigned i = 0; i < type->n_fields; i++) {
            const ProtobufCFieldDescriptor *field = &type->fields[i];
            bool is_repeated = field->label == PROTOBUF_C_LABEL_REPEATED;
            size_t n = is_repeated ? rng_() % kRepeatsMax : rng_() % 4 != 0;

            /* The last member of a oneof holds. */
            if ((field->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) != 0) {
                n = rng_() % type->n_fields == 0;
            }
            for (size_t k = 0; k < n && depth < kDepthMax; k++) {
                AddField(field, depth, &packed);
            }
        }
        return packed;
    }

    /* A message whose oneof has this member. */
    std::string
    MakeWith(const Descriptor *type, const ProtobufCFieldDescriptor *member)
    {
        std::string packed = Make(type);

        AddField(member, 0, &packed);
        return packed;
    }

    size_t
    Below(size_t n)
    {
        return rng_() % n;
    }

  private:
    enum { kRepeatsMax = 4, kDepthMax = 8, kVarintBits = 7 };

    static void
    AddVarint(uint64_t value, std::string *to)
    {
        while (value >> kVarintBits != 0) {
            to->push_back((char)(value | 0x80));
            value >>= kVarintBits;
        }
        to->push_back((char)value);
    }

    uint64_t
    Number()
    {
        static const uint64_t kNumbers[] = {
            0,   1,    1,        2,          3,         4,         7,
            100, 1000, 1U << 31, UINT32_MAX, INT64_MAX, UINT64_MAX};

        return kNumbers[rng_() % (sizeof kNumbers / sizeof *kNumbers)];
    }

    std::string
    Text()
    {
        static const std::string kTexts[] = {"",
                                             "a",
                                             "\xff\xfe",
                                             std::string(70, 'x'),
                                             std::string(5000, 'y'),
                                             std::string("z\0z", 3)};

        if (!texts_.empty() && rng_() % 4 != 0) {
            return texts_[rng_() % texts_.size()];
        }
        return kTexts[rng_() % (sizeof kTexts / sizeof *kTexts)];
    }

    std::string
    Bytes(const ProtobufCFieldDescriptor *field, int depth)
    {
        auto known = nested_.find(field->name);

        if (field->type == PROTOBUF_C_TYPE_MESSAGE) {
            auto type = static_cast<const Descriptor *>(field->descriptor);

            return rng_() % 4 == 0 ? "" : Make(type, depth + 1);
        }
        if (field->type == PROTOBUF_C_TYPE_BYTES && known != nested_.end()) {
            return Make(known->second, depth + 1);
        }
        return Text();
    }

    void
    AddField(const ProtobufCFieldDescriptor *field, int depth, std::string *to)
    {
        enum { VARINT = 0, FIXED64 = 1, BYTES = 2, FIXED32 = 5 };
        uint64_t number = Number();
        std::string bytes;

        switch (field->type) {
        case PROTOBUF_C_TYPE_FIXED64:
        case PROTOBUF_C_TYPE_SFIXED64:
        case PROTOBUF_C_TYPE_DOUBLE:
            AddVarint(field->id << 3 | FIXED64, to);
            to->append((const char *)&number, sizeof number);
            break;
        case PROTOBUF_C_TYPE_FIXED32:
        case PROTOBUF_C_TYPE_SFIXED32:
        case PROTOBUF_C_TYPE_FLOAT:
            AddVarint(field->id << 3 | FIXED32, to);
            to->append((const char *)&number, sizeof(uint32_t));
            break;
        case PROTOBUF_C_TYPE_STRING:
        case PROTOBUF_C_TYPE_BYTES:
        case PROTOBUF_C_TYPE_MESSAGE:
            bytes = Bytes(field, depth);
            AddVarint(field->id << 3 | BYTES, to);
            AddVarint(bytes.size(), to);
            to->append(bytes);
            break;
        default:
            AddVarint(field->id << 3 | VARINT, to);
            AddVarint(number, to);
            break;
        }
    }

    std::mt19937 rng_;
    std::map<std::string, const Descriptor *> nested_;
    std::vector<std::string> texts_;
};

#endif
