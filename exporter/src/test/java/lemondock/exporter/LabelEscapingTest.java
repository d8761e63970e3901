package lemondock.exporter;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Escaping of label values for collectors. */
@SuppressWarnings("checkstyle:AvoidEscapedUnicodeCharacters") // Sources stay ASCII.
class LabelEscapingTest {
  @Test
  void escapesDistinctValuesDistinctly() {
    assertEquals("card-refund_2", LabelEscaping.escape("card-refund_2"));
    assertEquals("a%2Eb", LabelEscaping.escape("a.b"));
    assertEquals("a%20b%0Ac", LabelEscaping.escape("a b\nc"));
    assertEquals("%25", LabelEscaping.escape("%"));
    assertEquals("%", LabelEscaping.escape(""));
    assertEquals("%C3%A4", LabelEscaping.escape("\u00e4"));
  }
}
