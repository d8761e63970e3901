package lemondock.policy;

import java.util.Objects;

/**
 * Settings or an endpoint list that the router cannot use. The message, which hosts show to their
 * users, says what is wrong; field and value say where.
 */
public final class InvalidRouterInputException extends IllegalArgumentException {
  private static final long serialVersionUID = 1;

  private final String field;
  private final String value;

  /** Makes one; the field is named by the records that hold it, as {@code limits.maxAttempts}. */
  InvalidRouterInputException(String field, Object value, String problem) {
    super(problem);
    this.field = field;
    this.value = Objects.toString(value);
  }

  /** The field that cannot be used, by the names of the records that hold it. */
  public String field() {
    return field;
  }

  /** The value that was found there, as text. */
  public String value() {
    return value;
  }
}
