package lemondock.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Which label values the limit accepts and which overflow. */
class LabelCardinalityLimitTest {
  @Test
  void valuesBeyondTheLimitOverflow() {
    LabelCardinalityLimit limit = new LabelCardinalityLimit(List.of("reserved"), 2);
    assertEquals("a", limit.labelFor("a"));
    assertEquals("b", limit.labelFor("b"));
    for (int i = 0; i < 1_000; i++) {
      assertEquals(LabelCardinalityLimit.OVERFLOW, limit.labelFor("flood" + i));
    }
    assertEquals("reserved", limit.labelFor("reserved"));
    assertEquals("a", limit.labelFor("a"));
    assertEquals(LabelCardinalityLimit.OVERFLOW, limit.labelFor(""));
    assertEquals(
        LabelCardinalityLimit.OVERFLOW,
        new LabelCardinalityLimit(Set.of(), 9).labelFor("x".repeat(65)));
    assertEquals(1_001, limit.overflowCount());
  }
}
