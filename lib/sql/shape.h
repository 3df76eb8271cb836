/* shape - text of a statement without its constants.  */

#ifndef SHAPE_H
#define SHAPE_H

#include "base.h"

/* sql_shape: writes TEXT to OUT with string constants as '' and numbers as 0,
   and without comments at its start.  Texts of the same shape have the same
   class.  Returns false if TEXT has no shape and has to be cached as a whole:
   it contains a backslash, a dollar quote or a further comment, or starts with
   SET, whose value is part of the result.  */
bool sql_shape (str_t text, buf_t *out);

#endif
