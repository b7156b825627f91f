import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers and booleans. */
final class Json {

  private final String text;
  private int position;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(String text) {
    Json json = new Json(text);
    Object value = json.value();
    json.skipSpace();
    if (json.position != text.length()) {
      throw new IllegalArgumentException("text after the JSON value");
    }
    return value;
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> object(String text) {
    return (Map<String, Object>) parse(text);
  }

  static long number(Map<String, Object> object, String field) {
    Object value = object.get(field);
    return value instanceof Number number ? number.longValue() : 0;
  }

  static String string(Map<String, Object> object, String field) {
    Object value = object.get(field);
    return value instanceof String string ? string : "";
  }

  static boolean flag(Map<String, Object> object, String field) {
    return Boolean.TRUE.equals(object.get(field));
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Map<String, Object> object, String field) {
    Object value = object.get(field);
    return value instanceof List<?> list ? (List<Object>) list : List.of();
  }

  private void skipSpace() {
    while (position < text.length() && Character.isWhitespace(text.charAt(position))) {
      position++;
    }
  }

  private Object value() {
    skipSpace();
    char first = text.charAt(position);
    if (first == '{') {
      return objectValue();
    }
    if (first == '[') {
      return listValue();
    }
    if (first == '"') {
      return stringValue();
    }
    if (text.startsWith("true", position)) {
      position += 4;
      return true;
    }
    if (text.startsWith("false", position)) {
      position += 5;
      return false;
    }
    if (text.startsWith("null", position)) {
      position += 4;
      return null;
    }
    int start = position;
    while (position < text.length() && "+-.eE0123456789".indexOf(text.charAt(position)) >= 0) {
      position++;
    }
    String number = text.substring(start, position);
    if (number.matches("-?\\d{1,18}")) {
      return Long.parseLong(number);
    }
    return Double.parseDouble(number);
  }

  private Map<String, Object> objectValue() {
    Map<String, Object> object = new LinkedHashMap<>();
    position++;
    skipSpace();
    while (text.charAt(position) != '}') {
      skipSpace();
      String field = stringValue();
      skipSpace();
      position++;
      object.put(field, value());
      skipSpace();
      if (text.charAt(position) == ',') {
        position++;
        skipSpace();
      }
    }
    position++;
    return object;
  }

  private List<Object> listValue() {
    List<Object> list = new ArrayList<>();
    position++;
    skipSpace();
    while (text.charAt(position) != ']') {
      list.add(value());
      skipSpace();
      if (text.charAt(position) == ',') {
        position++;
      }
      skipSpace();
    }
    position++;
    return list;
  }

  private String stringValue() {
    StringBuilder string = new StringBuilder();
    position++;
    while (text.charAt(position) != '"') {
      char next = text.charAt(position++);
      if (next != '\\') {
        string.append(next);
        continue;
      }
      char escaped = text.charAt(position++);
      switch (escaped) {
        case 'n' -> string.append('\n');
        case 't' -> string.append('\t');
        case 'r' -> string.append('\r');
        case 'b' -> string.append('\b');
        case 'f' -> string.append('\f');
        case 'u' -> {
          string.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
          position += 4;
        }
        default -> string.append(escaped);
      }
    }
    position++;
    return string.toString();
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String separator = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(separator);
        write(String.valueOf(entry.getKey()), out);
        out.append(':');
        write(entry.getValue(), out);
        separator = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String separator = "";
      for (Object element : list) {
        out.append(separator);
        write(element, out);
        separator = ",";
      }
      out.append(']');
    } else if (value instanceof String string) {
      out.append('"');
      for (char next : string.toCharArray()) {
        if (next == '"' || next == '\\') {
          out.append('\\').append(next);
        } else if (next < ' ') {
          out.append(String.format("\\u%04x", (int) next));
        } else {
          out.append(next);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }

  static Map<String, Object> map(Object... fieldsAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int index = 0; index < fieldsAndValues.length; index += 2) {
      map.put((String) fieldsAndValues[index], fieldsAndValues[index + 1]);
    }
    return map;
  }
}
