package lemondock.net.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Header fields in message order; names are case-insensitive (RFC 9110, section 5.1). Not
 * thread-safe.
 */
public final class Headers {
  private final List<String> names = new ArrayList<>();
  private final List<String> values = new ArrayList<>();

  /** Creates headers from alternating names and values. */
  public static Headers of(String... namesAndValues) {
    Headers headers = new Headers();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      headers.add(namesAndValues[i], namesAndValues[i + 1]);
    }
    return headers;
  }

  /** Appends a field. */
  public Headers add(String name, String value) {
    names.add(name.toLowerCase(Locale.ROOT));
    values.add(value);
    return this;
  }

  /** The first value of the field with the given name. */
  public Optional<String> firstValue(String name) {
    int index = names.indexOf(name.toLowerCase(Locale.ROOT));
    return index < 0 ? Optional.empty() : Optional.of(values.get(index));
  }

  /** All values of the fields with the given name, in message order. */
  public List<String> allValues(String name) {
    List<String> matches = new ArrayList<>();
    String lowerCaseName = name.toLowerCase(Locale.ROOT);
    for (int i = 0; i < names.size(); i++) {
      if (names.get(i).equals(lowerCaseName)) {
        matches.add(values.get(i));
      }
    }
    return matches;
  }

  /** Whether a comma-separated list field contains the token, ignoring case. */
  public boolean containsToken(String name, String token) {
    for (String value : allValues(name)) {
      for (String part : value.split(",")) {
        if (part.strip().equalsIgnoreCase(token)) {
          return true;
        }
      }
    }
    return false;
  }

  /** The number of fields. */
  public int size() {
    return names.size();
  }

  /** Characters of all names and values together. */
  public int bytes() {
    int bytes = 0;
    for (int i = 0; i < names.size(); i++) {
      bytes += names.get(i).length() + values.get(i).length();
    }
    return bytes;
  }

  /** The name of the field at this index, in lower case. */
  public String name(int index) {
    return names.get(index);
  }

  /** The value of the field at this index. */
  public String value(int index) {
    return values.get(index);
  }

  @Override
  public String toString() {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < names.size(); i++) {
      text.append(names.get(i)).append(": ").append(values.get(i)).append("\r\n");
    }
    return text.toString();
  }
}
