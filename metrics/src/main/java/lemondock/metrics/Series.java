package lemondock.metrics;

import java.util.List;

/**
 * One family under one set of labels. {@code first} is the slot of its first field; the others
 * follow it.
 *
 * @param number its place in the order in which series were made
 */
public record Series(int number, Family family, List<String> labels, int first) {
  /** The slot of a field. */
  public int slot(int field) {
    return first + field;
  }
}
