/* shape - text of a statement without its constants.  */

#ifndef SHAPE_H
#define SHAPE_H

#include "base.h"

/* sql_shape: writes TEXT to OUT with string constants as '' and numbers as 0,
   and without a comment in front.  Texts with the same shape have the same
   class.  False when TEXT needs the full parser: it has a backslash, a dollar
   quote or a further comment, or starts with SET, whose value counts.  */
bool sql_shape (str_t text, buf_t *out);

#endif
