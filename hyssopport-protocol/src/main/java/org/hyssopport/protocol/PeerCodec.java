package org.hyssopport.protocol;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import io.vavr.control.Either;
import java.io.IOException;
import org.hyssopport.engine.PeerMessage.Envelope;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Encodes peer messages as MessagePack.
 *
 * @since 0.1
 * @see Frame
 */
public final class PeerCodec {

  private static final ObjectMapper MAPPER =
      new MessagePackMapper()
          .registerModule(new Jdk8Module())
          .registerModule(new JavaTimeModule())
          .disable(SerializationFeature.WRITE_DATE_TIMESTAMPS_AS_NANOSECONDS)
          .disable(DeserializationFeature.READ_DATE_TIMESTAMPS_AS_NANOSECONDS)
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

  private PeerCodec() {}

  /** Returns the encoded message. */
  public static byte[] encode(Envelope envelope) {
    try {
      return MAPPER.writeValueAsBytes(envelope);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("message can't be encoded: " + envelope, e);
    }
  }

  /** Returns the message, or what is wrong with the bytes. */
  public static Either<String, Envelope> decode(byte[] payload) {
    try {
      checkLengths(payload);
      Envelope envelope = MAPPER.readValue(payload, Envelope.class);
      boolean whole =
          envelope != null
              && envelope.sender() != null
              && envelope.receiver() != null
              && envelope.message() != null;
      return whole ? Either.right(envelope) : Either.left("a part of the envelope is missing");
    } catch (IOException | RuntimeException e) {
      return Either.left("not a message: " + firstLineOf(e));
    }
  }

  /** Walks over the bytes, so that no stated length beyond their end is ever allocated. */
  private static void checkLengths(byte[] payload) throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
      unpacker.skipValue();
    }
  }

  private static String firstLineOf(Exception fault) {
    String message = String.valueOf(fault.getMessage());
    return message.lines().findFirst().orElse(fault.getClass().getSimpleName());
  }
}
