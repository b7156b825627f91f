package org.hyssopport.policy;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.DateTimeException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Reads typed fields of a JSON object and collects all faults as findings with their places.
 *
 * <p>A field that is not valid adds a finding and yields a substitute value, such as a fallback or
 * an empty string, so that reading continues and finds the remaining faults. The values may be used
 * only if there are no findings.
 *
 * @since 0.1
 */
public final class FieldReader {

  private final JsonNode node;
  private final String place;
  private final List<Finding> findings;

  private FieldReader(JsonNode node, String place, List<Finding> findings) {
    this.node = node;
    this.place = place;
    this.findings = findings;
    if (!node.isObject()) {
      findings.add(new Finding(place, "must be an object, but is " + describe(node)));
    }
  }

  /**
   * Returns a reader of the root object.
   *
   * @param node the root object; adds a finding if it is not an object
   * @param findings the list that this reader and its inner readers add findings to
   * @return the reader
   */
  public static FieldReader of(JsonNode node, List<Finding> findings) {
    return new FieldReader(node, "", findings);
  }

  /** Returns the path of a field of this object from the root, such as {@code teams[0].quota}. */
  public String placeOf(String field) {
    return place.isEmpty() ? field : place + "." + field;
  }

  /**
   * Adds a finding about a field of this object.
   *
   * @param field the name of the field
   * @param message what is wrong with it
   */
  public void report(String field, String message) {
    findings.add(new Finding(placeOf(field), message));
  }

  /** Adds a finding for each field whose name is not among the given ones. */
  public void reportUnknownFields(Set<String> knownFields) {
    node.fieldNames()
        .forEachRemaining(
            field -> {
              if (!knownFields.contains(field)) {
                report(field, "is not a known field; known are " + knownFields);
              }
            });
  }

  /** Returns whether the field is present and not null. */
  public boolean has(String field) {
    return node.hasNonNull(field);
  }

  /** Returns a required text; adds a finding if it is missing, blank or not a text. */
  public String text(String field) {
    Optional<String> value = optionalText(field);
    if (value.isEmpty() && !has(field)) {
      report(field, "is missing");
    }
    return value.orElse("");
  }

  /**
   * Returns an optional text; adds a finding if it is present, but blank or not a text.
   *
   * @param field the name of the field
   * @return the text, or empty if it is absent or not valid
   */
  public Optional<String> optionalText(String field) {
    if (!has(field)) {
      return Optional.empty();
    }
    JsonNode value = node.get(field);
    if (!value.isTextual() || value.asText().isBlank()) {
      report(field, "must be a text that is not empty, but is " + describe(value));
      return Optional.empty();
    }
    return Optional.of(value.asText());
  }

  /**
   * Returns a whole number; adds a finding if the field is not one or is out of bounds.
   *
   * @param field the name of the field
   * @param fallback the value if the field is absent or not valid; not checked against the bounds
   * @param minimum the smallest valid value
   * @param maximum the largest valid value
   * @return the number
   */
  public long number(String field, long fallback, long minimum, long maximum) {
    if (!has(field)) {
      return fallback;
    }
    JsonNode value = node.get(field);
    if (!value.isIntegralNumber() || !value.canConvertToLong()) {
      report(field, "must be a whole number, but is " + describe(value));
      return fallback;
    }
    if (value.asLong() < minimum || value.asLong() > maximum) {
      report(field, "must be from " + minimum + " to " + maximum + ", but is " + value);
      return fallback;
    }
    return value.asLong();
  }

  /** Returns a boolean, or the fallback if the field is absent or not a boolean. */
  public boolean booleanValue(String field, boolean fallback) {
    if (!has(field)) {
      return fallback;
    }
    if (!node.get(field).isBoolean()) {
      report(field, "must be true or false, but is " + describe(node.get(field)));
      return fallback;
    }
    return node.get(field).asBoolean();
  }

  /**
   * Returns an ISO 8601 duration; adds a finding if it can't be parsed or is not positive.
   *
   * @param field the name of the field
   * @param fallback the value if the field is absent or can't be parsed
   * @return the duration
   */
  public Duration duration(String field, Duration fallback) {
    Optional<String> text = optionalText(field);
    if (text.isEmpty()) {
      return fallback;
    }
    try {
      Duration value = Duration.parse(text.get());
      if (value.isNegative() || value.isZero()) {
        report(field, "must be positive, but is " + value);
      }
      return value;
    } catch (DateTimeException e) {
      report(field, "must be a duration such as PT1.4S, but is " + text.get());
      return fallback;
    }
  }

  /**
   * Returns a constant of an enum by its name; adds a finding if the field is absent or names none.
   *
   * @param field the name of the field
   * @param type the enum
   * @param fallback the value if the field is absent or names none of the constants
   * @param <E> the enum
   * @return the constant
   */
  public <E extends Enum<E>> E enumConstant(String field, Class<E> type, E fallback) {
    String name = text(field);
    for (E constant : type.getEnumConstants()) {
      if (constant.name().equals(name)) {
        return constant;
      }
    }
    if (!name.isEmpty()) {
      report(field, "must be one of " + List.of(type.getEnumConstants()) + ", but is " + name);
    }
    return fallback;
  }

  /**
   * Returns an amount of resources, whose missing parts are zero.
   *
   * @param field the name of the field
   * @param fallback the value if the field is absent
   * @return the amount
   */
  public Resources resources(String field, Resources fallback) {
    if (!has(field)) {
      return fallback;
    }
    FieldReader inner = new FieldReader(node.get(field), placeOf(field), findings);
    inner.reportUnknownFields(Set.of("milliProcessors", "memoryMebibytes", "accelerators"));
    return new Resources(
        inner.number("milliProcessors", 0, 0, Integer.MAX_VALUE),
        inner.number("memoryMebibytes", 0, 0, Integer.MAX_VALUE),
        inner.number("accelerators", 0, 0, Integer.MAX_VALUE));
  }

  /**
   * Reads the elements of a list of objects; adds a finding if it is present but not a list.
   *
   * @param field the name of the field
   * @param elementReader reads an element
   * @param <T> the type of an element
   * @return the elements; empty if the field is absent
   */
  public <T> List<T> list(String field, Function<FieldReader, T> elementReader) {
    List<T> values = new ArrayList<>();
    if (!has(field)) {
      return values;
    }
    if (!node.get(field).isArray()) {
      report(field, "must be a list, but is " + describe(node.get(field)));
      return values;
    }
    int index = 0;
    for (JsonNode elementNode : node.get(field)) {
      values.add(
          elementReader.apply(
              new FieldReader(elementNode, placeOf(field) + "[" + index + "]", findings)));
      index++;
    }
    return values;
  }

  /**
   * Returns a reader of an inner object, which adds to the same findings.
   *
   * @param field the name of the field; if it is absent, the object is read as empty
   * @return the reader
   */
  public FieldReader object(String field) {
    JsonNode inner = has(field) ? node.get(field) : Json.mapper().createObjectNode();
    return new FieldReader(inner, placeOf(field), findings);
  }

  private static String describe(JsonNode value) {
    String text = value.toString();
    int maximumLength = 40;
    return text.length() <= maximumLength ? text : text.substring(0, maximumLength) + "…";
  }
}
