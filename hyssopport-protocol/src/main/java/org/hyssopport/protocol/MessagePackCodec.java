package org.hyssopport.protocol;

import com.fasterxml.jackson.annotation.JsonSetter;
import com.fasterxml.jackson.annotation.Nulls;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.vavr.control.Either;
import java.io.IOException;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes and decodes values of one type as MessagePack.
 *
 * @param <M> the type of the values
 * @since 0.2
 */
public final class MessagePackCodec<M> {

  private static final ObjectMapper MAPPER =
      new MessagePackMapper()
          .registerModule(new Jdk8Module())
          .registerModule(new JavaTimeModule())
          .disable(SerializationFeature.WRITE_DATE_TIMESTAMPS_AS_NANOSECONDS)
          .disable(DeserializationFeature.READ_DATE_TIMESTAMPS_AS_NANOSECONDS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
          .setDefaultSetterInfo(JsonSetter.Value.forContentNulls(Nulls.FAIL));

  /** Several times the deepest message or record. */
  private static final int MAXIMUM_NESTING = 32;

  private final ObjectReader reader;
  private final ObjectWriter writer;

  private MessagePackCodec(Class<M> type) {
    reader = MAPPER.readerFor(type);
    writer = MAPPER.writerFor(type);
  }

  /** Returns a codec for values of the given type. */
  public static <M> MessagePackCodec<M> of(Class<M> type) {
    return new MessagePackCodec<>(type);
  }

  /**
   * Returns the value as MessagePack.
   *
   * @throws IllegalStateException if the value can't be encoded
   */
  public byte[] encode(M value) {
    try {
      return writer.writeValueAsBytes(value);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("value can't be encoded as MessagePack: " + value, e);
    }
  }

  /** Returns the decoded value, or on the left why the bytes can't be decoded. */
  public Either<String, M> decode(byte[] payload) {
    try {
      checkStructure(payload);
      M value = reader.readValue(payload);
      return value == null ? Either.left("payload holds no value") : Either.right(value);
    } catch (IOException | RuntimeException e) {
      return Either.left("payload can't be decoded: " + firstLineOf(e));
    }
  }

  /**
   * Skips over the value without decoding it. This fails if a stated length reaches beyond the end
   * of the payload, so that no memory is allocated for such a length, and if lists and maps are
   * nested more deeply than any value of ours.
   */
  private static void checkStructure(byte[] payload) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      long[] remaining = new long[MAXIMUM_NESTING + 1];
      remaining[0] = 1;
      int depth = 0;
      while (depth >= 0) {
        if (remaining[depth] == 0) {
          depth--;
          continue;
        }
        remaining[depth]--;
        long elements = skipValueOrHeader(unpacker);
        if (elements > 0) {
          depth++;
          if (depth > MAXIMUM_NESTING) {
            throw new IOException("lists and maps are nested too deeply");
          }
          remaining[depth] = elements;
        }
      }
    }
  }

  /** Skips over one value, or over the header of a list or map; returns how many values follow. */
  private static long skipValueOrHeader(MessageUnpacker unpacker) throws IOException {
    return switch (unpacker.getNextFormat().getValueType()) {
      case ARRAY -> unpacker.unpackArrayHeader();
      case MAP -> 2L * unpacker.unpackMapHeader();
      default -> {
        unpacker.skipValue();
        yield 0L;
      }
    };
  }

  private static String firstLineOf(Exception fault) {
    String message = String.valueOf(fault.getMessage());
    return message.lines().findFirst().orElse(fault.getClass().getSimpleName());
  }
}
