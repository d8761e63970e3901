package lemondock.policy;

import java.util.Objects;

/**
 * Thrown for settings or an endpoint list that the router cannot use. The message says what is
 * wrong, for hosts to show to their users; the field and the value say where.
 */
public final class InvalidRouterInputException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  private final String field;
  private final String value;

  /** Names the field by its path through the settings records: {@code limits.maxAttempts}. */
  InvalidRouterInputException(String field, Object value, String problem) {
    super(problem);
    this.field = field;
    this.value = Objects.toString(value);
  }

  /** The path of the invalid field, such as {@code limits.maxAttempts}. */
  public String field() {
    return field;
  }

  /** The invalid value, as text. */
  public String value() {
    return value;
  }
}
