package lemondock.net.http;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Header fields in the order of the message; names compare without regard to case (RFC 9110,
 * section 5.1). For one thread at a time.
 */
public final class Headers {
  private final List<String> names = new ArrayList<>();
  private final List<String> values = new ArrayList<>();

  /** Makes headers of names and values in turn. */
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

  /** The first value of that name. */
  public Optional<String> firstValue(String name) {
    int index = names.indexOf(name.toLowerCase(Locale.ROOT));
    return index < 0 ? Optional.empty() : Optional.of(values.get(index));
  }

  /** All values of that name, in the order of the message. */
  public List<String> allValues(String name) {
    List<String> found = new ArrayList<>();
    String wanted = name.toLowerCase(Locale.ROOT);
    for (int i = 0; i < names.size(); i++) {
      if (names.get(i).equals(wanted)) {
        found.add(values.get(i));
      }
    }
    return found;
  }

  /** Whether a comma separated list field holds the token, without regard to case. */
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

  /** Name of a field, in lower case. */
  public String name(int index) {
    return names.get(index);
  }

  /** Value of a field. */
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
